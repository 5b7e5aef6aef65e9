//! One batch: its status, its counts and its object in the API.

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
    /// Its lines are being counted.
    Validating,
    /// Its input can't be run, or the spool failed.
    Failed,
    /// Its lines are being run.
    InProgress,
    /// All lines have their outcomes.
    Completed,
    /// It took too long; the lines that were not run have an outcome that says so.
    Expired,
    /// It is being cancelled.
    Cancelling,
    /// It was cancelled; the lines that were not run have an outcome that says so.
    Cancelled,
}

impl BatchStatus {
    /// Its name in the API.
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

/// The statuses whose times the API's object lists, in its order.
const TIMED_STATUSES: [BatchStatus; 6] = [
    BatchStatus::InProgress,
    BatchStatus::Completed,
    BatchStatus::Failed,
    BatchStatus::Expired,
    BatchStatus::Cancelling,
    BatchStatus::Cancelled,
];

/// Why a batch failed. The text is the message in the API's object.
#[derive(Debug, Error)]
pub(super) enum BatchFailure {
    /// The spool failed.
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
    /// The code in the API's object, for programs.
    pub(super) fn code(&self) -> &'static str {
        match self {
            BatchFailure::Spool(_) => "spool_error",
            BatchFailure::TooManyLines { .. } => "too_many_lines",
            BatchFailure::EmptyFile => "empty_file",
        }
    }
}

/// When a batch came to a status.
#[derive(Clone, Copy, Debug)]
struct StatusChange {
    status: BatchStatus,
    /// In seconds of Unix time.
    at: u64,
}

/// The numbers of a batch's lines.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LineCounts {
    pub(super) total: u64,
    pub(super) completed: u64,
    pub(super) failed: u64,
}

/// A batch, as clients see it.
pub(super) struct Batch {
    pub(super) id: String,
    /// Its position in the order of creation.
    pub(super) number: u64,
    pub(super) owner: Caller,
    pub(super) status: BatchStatus,
    pub(super) lines: LineCounts,
    /// The id of the result file, once it is complete.
    pub(super) output_file: Option<String>,
    pub(super) failure: Option<BatchFailure>,
    /// In seconds of Unix time.
    pub(super) created_at: u64,
    expires_at: u64,
    endpoint: String,
    input_file: String,
    completion_window: String,
    metadata: Value,
    status_changes: Vec<StatusChange>,
    /// Cancels its worker when set.
    cancel: watch::Sender<bool>,
}

impl Batch {
    /// A batch that is created at this time, in seconds of Unix time.
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

    /// Changes the status, now.
    pub(super) fn set_status(&mut self, status: BatchStatus) {
        self.status = status;
        let at = unix_seconds();
        self.status_changes.push(StatusChange { status, at });
    }

    /// Tells the worker to run no further lines.
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
