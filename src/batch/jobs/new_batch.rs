//! A client's request to create a batch.

use std::time::Duration;

use serde_json::Value;

use crate::edge::Caller;

/// A batch to be created.
#[derive(Debug)]
pub struct NewBatch {
    /// The id of the input file.
    pub input_file: String,
    /// The endpoint that every line names as its `url`.
    pub endpoint: String,
    /// How long the batch may take.
    pub completion_window: CompletionWindow,
    /// The client's metadata: a JSON object or null.
    pub metadata: Value,
    /// The caller that creates the batch and is charged for it.
    pub owner: Caller,
}

/// How long a batch may take.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CompletionWindow {
    /// The client's text, which the API's batch object repeats.
    pub text: String,
    /// The duration that the text specifies.
    pub duration: Duration,
}
