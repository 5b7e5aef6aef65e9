//! Lines on their way to an outcome.

use std::collections::HashSet;
use std::hash::{BuildHasher, RandomState};

use serde_json::Value;
use tokio::task::JoinError;

use crate::batch::line::{LineError, LineOutcome};

/// The `custom_id`s of a batch's lines so far. Only hashes are held, so that a file of many lines
/// takes little memory.
#[derive(Default)]
pub(super) struct SeenIds {
    hasher: RandomState,
    hashes: HashSet<u64>,
}

impl SeenIds {
    /// Adds an id; returns whether it is new.
    pub(super) fn insert(&mut self, custom_id: &str) -> bool {
        self.hashes.insert(self.hasher.hash_one(custom_id))
    }
}

/// A line that has been read, and has no outcome yet.
pub(super) struct PendingLine {
    /// Its number in the input file, from 1.
    pub(super) number: u64,
    /// The client's name for it, if it could be read.
    pub(super) custom_id: Option<String>,
    /// The id that model servers see.
    pub(super) trace_id: String,
}

impl PendingLine {
    /// The outcome of the line with this result.
    pub(super) fn into_outcome(self, result: Result<Value, LineError>) -> LineOutcome {
        LineOutcome {
            number: self.number,
            custom_id: self.custom_id,
            trace_id: self.trace_id,
            result,
        }
    }
}

/// The outcome of a task. A task that panicked has lost the number and the ids of its line.
pub(super) fn outcome_of(ended: Result<LineOutcome, JoinError>) -> LineOutcome {
    ended.unwrap_or_else(|e| LineOutcome {
        number: 0,
        custom_id: None,
        trace_id: String::new(),
        result: Err(LineError::Internal(e.to_string())),
    })
}
