//! Lines that have been read and have no outcome yet.

use std::collections::HashSet;
use std::hash::{BuildHasher, RandomState};
use std::ops::Range;
use std::time::Duration;

use serde_json::Value;
use tokio::task::JoinError;

use crate::batch::line::{LineError, LineOutcome};

/// The `custom_id`s of the lines read so far. Only their hashes are stored, so that a file with
/// many lines needs little memory.
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

/// A line that has been read and has no outcome yet.
pub(super) struct PendingLine {
    /// The line's number in the input file, from 1.
    pub(super) number: u64,
    /// The client's id for the line, if it could be read.
    pub(super) custom_id: Option<String>,
    /// The trace id that is sent to model servers.
    pub(super) trace_id: String,
    /// The range of the line's text in the input file.
    pub(super) range: Range<u64>,
}

/// How the task of a line ended.
pub(super) enum LineEnd {
    /// The line has its outcome.
    Finished(LineOutcome),
    /// The line exceeds a budget that is refilled; it was not sent to any model server.
    OutOfBudget {
        line: PendingLine,
        refill_in: Duration,
    },
}

impl PendingLine {
    /// Creates the line's outcome from its result.
    pub(super) fn into_outcome(self, result: Result<Value, LineError>) -> LineOutcome {
        LineOutcome {
            number: self.number,
            custom_id: self.custom_id,
            trace_id: self.trace_id,
            result,
        }
    }
}

/// The end of a line's task. If the task panicked, the line's number and ids are unknown.
pub(super) fn end_of(ended: Result<LineEnd, JoinError>) -> LineEnd {
    ended.unwrap_or_else(|e| {
        LineEnd::Finished(LineOutcome {
            number: 0,
            custom_id: None,
            trace_id: String::new(),
            result: Err(LineError::Internal(e.to_string())),
        })
    })
}
