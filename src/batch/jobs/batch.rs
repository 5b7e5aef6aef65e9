//! One batch: its status, its line counts and its object in the API.

use serde_json::{Value, json};
use thiserror::Error;
use tokio::sync::watch;

use super::error::JobError;
use super::new_batch::NewBatch;
use crate::batch::store::StoreError;
use crate::batch::wall_clock::unix_seconds;
use crate::edge::Caller;

/// The status of a batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BatchStatus {
    /// The lines of the input are being counted.
    Validating,
    /// The input has too many lines or none, or the spool failed.
    Failed,
    /// The lines are being run.
    InProgress,
    /// Every line has an outcome in the result file.
    Completed,
    /// The completion window elapsed. The lines that were not run have outcomes that say so.
    Expired,
    /// The batch is being cancelled: no further lines are started.
    Cancelling,
    /// The batch was cancelled. The lines that were not run have outcomes that say so.
    Cancelled,
}

impl BatchStatus {
    /// The name of the status in the API.
    pub(super) fn name(self) -> &'static str {
        match self {
            BatchStatus::Validating => "validating",
            BatchStatus::Failed => "failed",
            BatchStatus::InProgress => "in_progress",
            BatchStatus::Completed => "completed",
            BatchStatus::Expired => "expired",
            BatchStatus::Cancelling => "cancelling",
            BatchStatus::Cancelled => "cancelled",
        }
    }

    /// Whether the status is final.
    pub fn is_final(self) -> bool {
        matches!(
            self,
            BatchStatus::Failed
                | BatchStatus::Completed
                | BatchStatus::Expired
                | BatchStatus::Cancelled
        )
    }
}

/// The statuses that have a `..._at` time in the API's batch object, in the object's order.
const TIMED_STATUSES: [BatchStatus; 6] = [
    BatchStatus::InProgress,
    BatchStatus::Completed,
    BatchStatus::Failed,
    BatchStatus::Expired,
    BatchStatus::Cancelling,
    BatchStatus::Cancelled,
];

/// Why a batch failed. The error text is the message in the API's batch object.
#[derive(Debug, Error)]
pub(super) enum BatchFailure {
    /// An operation on the spool failed.
    #[error(transparent)]
    Spool(#[from] StoreError),
    /// The input has more lines than the limit.
    #[error("the file has over {max_lines} lines")]
    TooManyLines {
        /// The limit.
        max_lines: u64,
    },
    /// The input has no lines.
    #[error("the file has no lines")]
    EmptyFile,
}

impl BatchFailure {
    /// The machine-readable code in the API's batch object.
    pub(super) fn code(&self) -> &'static str {
        match self {
            BatchFailure::Spool(_) => "spool_error",
            BatchFailure::TooManyLines { .. } => "too_many_lines",
            BatchFailure::EmptyFile => "empty_file",
        }
    }
}

/// A status of a batch and the time at which it was set.
#[derive(Clone, Copy, Debug)]
struct StatusChange {
    status: BatchStatus,
    /// Unix time in seconds.
    at: u64,
}

/// Counts of a batch's lines.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LineCounts {
    pub(super) total: u64,
    pub(super) completed: u64,
    pub(super) failed: u64,
}

/// The state of a batch that the API reports.
pub(super) struct Batch {
    pub(super) id: String,
    /// The batch's position in the order of creation.
    pub(super) number: u64,
    pub(super) owner: Caller,
    pub(super) status: BatchStatus,
    pub(super) lines: LineCounts,
    /// The id of the result file, once it is complete.
    pub(super) output_file: Option<String>,
    pub(super) failure: Option<BatchFailure>,
    /// Unix time in seconds.
    pub(super) created_at: u64,
    expires_at: u64,
    endpoint: String,
    input_file: String,
    completion_window: String,
    metadata: Value,
    status_changes: Vec<StatusChange>,
    /// Set to `true` to cancel the batch's worker.
    cancel: watch::Sender<bool>,
}

impl Batch {
    /// Creates a batch. `created_at` is Unix time in seconds.
    pub(super) fn new(
        id: String,
        number: u64,
        new: NewBatch,
        cancel: watch::Sender<bool>,
        created_at: u64,
    ) -> Batch {
        Batch {
            id,
            number,
            owner: new.owner,
            status: BatchStatus::Validating,
            lines: LineCounts::default(),
            output_file: None,
            failure: None,
            created_at,
            expires_at: created_at + new.completion_window.duration.as_secs(),
            endpoint: new.endpoint,
            input_file: new.input_file,
            completion_window: new.completion_window.text,
            metadata: new.metadata,
            status_changes: Vec::new(),
            cancel,
        }
    }

    /// The API's batch object.
    pub(super) fn object(&self) -> Value {
        let errors = self.failure.as_ref().map(|failure| {
            let error = json!({
                "code": failure.code(),
                "message": failure.to_string(),
                "line": null,
                "param": null,
            });
            json!({"object": "list", "data": [error]})
        });
        let counts = json!({
            "total": self.lines.total,
            "completed": self.lines.completed,
            "failed": self.lines.failed,
        });
        let mut object = json!({
            "id": self.id,
            "object": "batch",
            "endpoint": self.endpoint,
            "errors": errors,
            "input_file_id": self.input_file,
            "completion_window": self.completion_window,
            "status": self.status.name(),
            "output_file_id": self.output_file,
            "error_file_id": null,
            "created_at": self.created_at,
            "expires_at": self.expires_at,
            "metadata": self.metadata,
            "request_counts": counts,
        });
        for status in TIMED_STATUSES {
            let changes = self.status_changes.iter();
            let change = changes.clone().find(|change| change.status == status);
            object[format!("{}_at", status.name())] = json!(change.map(|change| change.at));
        }
        object
    }

    /// Changes the status and records the current time.
    pub(super) fn set_status(&mut self, status: BatchStatus) {
        self.status = status;
        let at = unix_seconds();
        self.status_changes.push(StatusChange { status, at });
    }

    /// Tells the worker to start no further lines. Fails if the batch has ended.
    pub(super) fn cancel(&mut self) -> Result<(), JobError> {
        if self.status.is_final() {
            return Err(JobError::Ended);
        }
        if self.status != BatchStatus::Cancelling {
            self.set_status(BatchStatus::Cancelling);
        }
        let _ = self.cancel.send(true);
        Ok(())
    }
}
