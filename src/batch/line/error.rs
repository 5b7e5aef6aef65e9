//! Errors of a batch line that has no answer.

use thiserror::Error;

use crate::batch::completion::CompletionError;

/// The maximum length of a `custom_id` in bytes. It is kept in memory for each line in flight.
pub(super) const MAX_CUSTOM_ID_BYTES: usize = 512;

/// Why a line has no answer. The error text is the message in the result file.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum LineError {
    /// The line is not a JSON object.
    #[error("not a JSON object of a request: {0}")]
    InvalidJson(String),
    /// The line is longer than the limit.
    #[error("the line is over the limit")]
    TooLarge,
    /// The line has no valid `custom_id`.
    #[error("custom_id must be text of 1 to {MAX_CUSTOM_ID_BYTES} bytes")]
    MissingCustomId,
    /// An earlier line of the file has the same `custom_id`.
    #[error("an earlier line has this custom_id")]
    DuplicateCustomId,
    /// The line's `method` is not POST.
    #[error("method must be POST")]
    InvalidMethod,
    /// The line's `url` differs from the endpoint of its batch.
    #[error("url must be the batch's endpoint, {endpoint}")]
    InvalidUrl {
        /// The endpoint of the batch.
        endpoint: String,
    },
    /// The line's body is not a valid request.
    #[error("{0}")]
    InvalidBody(String),
    /// The line was not submitted before its batch was cancelled.
    #[error("the batch was cancelled ahead of this line")]
    Cancelled,
    /// The line was not submitted before its batch expired.
    #[error("the batch's time ran out ahead of this line")]
    Expired,
    /// The key that created the batch has been revoked.
    #[error("the key that created the batch is not valid any more")]
    KeyRevoked,
    /// The budget that the line is charged to is exhausted and is not refilled.
    #[error("{0}")]
    BudgetExhausted(String),
    /// The edge rejected the request as invalid.
    #[error("{message}")]
    Rejected {
        /// The code of the edge's error.
        code: &'static str,
        /// The message of the edge's error.
        message: String,
    },
    /// No attempt succeeded. A model server may have run one, so the line is not submitted again.
    #[error("no attempt within the limits was answered in time")]
    AttemptsFailed,
    /// The answer broke off.
    #[error("the answer broke off; it may have run")]
    AnswerBroken,
    /// The answer is not a valid completion.
    #[error(transparent)]
    InvalidAnswer(#[from] CompletionError),
    /// The router is shutting down.
    #[error("the router ended")]
    RouterEnded,
    /// An internal error of the router.
    #[error("{0}")]
    Internal(String),
}

impl LineError {
    /// The machine-readable code in the result file.
    pub fn code(&self) -> &'static str {
        match self {
            LineError::InvalidJson(_) => "invalid_json_line",
            LineError::TooLarge => "line_too_large",
            LineError::MissingCustomId => "missing_custom_id",
            LineError::DuplicateCustomId => "duplicate_custom_id",
            LineError::InvalidMethod => "invalid_method",
            LineError::InvalidUrl { .. } => "invalid_url",
            LineError::InvalidBody(_) => "invalid_body",
            LineError::Cancelled => "batch_cancelled",
            LineError::Expired => "batch_expired",
            LineError::KeyRevoked => "key_revoked",
            LineError::BudgetExhausted(_) => "budget_exhausted",
            LineError::Rejected { code, .. } => code,
            LineError::AttemptsFailed => "attempts_failed",
            LineError::AnswerBroken => "answer_broken",
            LineError::InvalidAnswer(_) => "invalid_answer",
            LineError::RouterEnded => "router_ended",
            LineError::Internal(_) => "internal_error",
        }
    }
}
