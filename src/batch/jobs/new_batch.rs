//! A batch as a client orders it.

use std::time::Duration;

use serde_json::Value;

use crate::edge::Caller;

/// A batch to be created.
#[derive(Debug)]
pub struct NewBatch {
    /// The id of the input file.
    pub input_file: String,
    /// The endpoint that all its lines name.
    pub endpoint: String,
    /// How long the batch may take.
    pub completion_window: CompletionWindow,
    /// The client's own notes: an object, or null.
    pub metadata: Value,
    /// Who creates it, and pays for it.
    pub owner: Caller,
}

/// How long a batch may take.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CompletionWindow {
    /// The client's text, as the batch's object repeats it.
    pub text: String,
    /// The time that it stands for.
    pub duration: Duration,
}
