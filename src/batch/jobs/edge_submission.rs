//! Submits lines to the edge. Each line is sent to the model that it names and charged to the key
//! that created the batch.

use std::time::{Duration, Instant};

use super::line_worker::{LineProgress, LineWorker};
use crate::batch::completion::{CompletionBuilder, CompletionDefaults};
use crate::batch::concurrency::Permit;
use crate::batch::edge_access::EdgeAccess;
use crate::batch::line::{LineError, LineRequest};
use crate::batch::wall_clock::unix_seconds;
use crate::edge::{AnswerStream, ChatRequest, Rejection, RejectionCause, StreamItem};

/// The result of a submission that did not fail.
enum Submission {
    /// The line needs no further submission now.
    Ended(LineProgress),
    /// The request was rejected before any attempt and may be submitted again.
    Rejected {
        /// The Retry-After time, if the edge gave one.
        retry_after: Option<Duration>,
    },
}

impl LineWorker {
    /// Submits a line to the edge until an attempt has been made or the line exceeds a budget.
    pub(super) async fn run_on_edge(
        &self,
        edge: &EdgeAccess,
        line: &LineRequest,
        trace_id: &str,
        permit: Permit,
    ) -> Result<LineProgress, LineError> {
        let mut backoff = LineWorker::resubmit_backoff();
        loop {
            match self.submit_to_edge(edge, line, trace_id, &permit).await? {
                Submission::Ended(progress) => return Ok(progress),
                Submission::Rejected { retry_after } => {
                    permit.rejected();
                    self.wait_to_resubmit(&mut backoff, retry_after).await?;
                }
            }
        }
    }

    async fn submit_to_edge(
        &self,
        edge: &EdgeAccess,
        line: &LineRequest,
        trace_id: &str,
        permit: &Permit,
    ) -> Result<Submission, LineError> {
        let chat = line.chat.clone();
        let chat = chat.map_err(|e| LineError::InvalidBody(e.message))?;
        let Some(trace) = edge.request_ids.acquire(trace_id) else {
            return Err(LineError::Internal("the line's id is in use".into()));
        };
        let options = &self.context.options;
        let submitted_at = Instant::now();
        let request = ChatRequest {
            caller: self.owner.clone(),
            chat,
            class: Some(options.class_name.clone()),
            timeout: Some(options.request_timeout),
            received_at: submitted_at,
            trace,
            interactive: false,
            client: None,
        };
        let mut answer = match edge.edge.start(request).await {
            Ok(answer) => answer,
            Err(rejection) => return after_rejection(rejection),
        };
        let start_latency = submitted_at.elapsed();
        let builder = collect(&mut answer).await.ok_or(LineError::AnswerBroken)?;
        permit.completed(start_latency);
        let completion = builder.finish(CompletionDefaults {
            trace_id,
            created_at: unix_seconds(),
            model: &answer.model().into(),
        })?;
        Ok(Submission::Ended(LineProgress::Completed(completion)))
    }
}

/// Decides whether a line that the edge rejected may be submitted again, and when.
fn after_rejection(rejection: Rejection) -> Result<Submission, LineError> {
    let Rejection {
        error,
        attempts,
        cause,
        retry_after,
    } = rejection;
    match cause {
        RejectionCause::BudgetExhausted { refill_in } => {
            return Ok(Submission::Ended(LineProgress::OutOfBudget { refill_in }));
        }
        RejectionCause::LargerThanBudget => {
            return Err(LineError::BudgetExhausted(error.message));
        }
        RejectionCause::Other => {}
    }
    match error.status {
        401 => return Err(LineError::KeyRevoked),
        400..=499 => {
            return Err(LineError::Rejected {
                code: error.code.unwrap_or("invalid_body"),
                message: error.message,
            });
        }
        _ => {}
    }
    if attempts > 0 {
        return Err(LineError::AttemptsFailed);
    }
    Ok(Submission::Rejected { retry_after })
}

/// Collects an answer; returns `None` if it breaks off.
async fn collect(answer: &mut AnswerStream) -> Option<CompletionBuilder> {
    let mut builder = CompletionBuilder::default();
    loop {
        match answer.next().await {
            StreamItem::Data(bytes) => builder.add(&bytes),
            StreamItem::Complete => return Some(builder),
            StreamItem::Broken => return None,
        }
    }
}
