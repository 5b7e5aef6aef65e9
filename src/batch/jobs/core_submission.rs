//! Submits lines to the core; used if the edge is disabled.

use std::time::{Duration, Instant};

use serde_json::Value;
use tokio::sync::mpsc;

use super::line_worker::LineWorker;
use crate::batch::completion::{CompletionBuilder, CompletionDefaults};
use crate::batch::concurrency::Permit;
use crate::batch::line::{LineError, LineRequest};
use crate::batch::wall_clock::unix_seconds;
use crate::core::{Answer, Chunk};

/// The result of a submission that did not fail.
enum Submission {
    /// The complete answer.
    Completed(Value),
    /// No attempt reached a model server, so the request may be submitted again.
    Rejected {
        /// The Retry-After time, if the core gave one.
        retry_after: Option<Duration>,
    },
}

impl LineWorker {
    /// Submits a line to the core until an attempt has reached a model server.
    pub(super) async fn run_on_core(
        &self,
        line: &LineRequest,
        trace_id: &str,
        permit: Permit,
    ) -> Result<Value, LineError> {
        let mut backoff = LineWorker::resubmit_backoff();
        loop {
            match self.submit_to_core(line, trace_id, &permit).await? {
                Submission::Completed(completion) => return Ok(completion),
                Submission::Rejected { retry_after } => {
                    permit.rejected();
                    self.wait_to_resubmit(&mut backoff, retry_after).await?;
                }
            }
        }
    }

    async fn submit_to_core(
        &self,
        line: &LineRequest,
        trace_id: &str,
        permit: &Permit,
    ) -> Result<Submission, LineError> {
        let options = &self.context.options;
        let request = line.to_core_request(options.class, options.request_timeout);
        let submitted_at = Instant::now();
        let submitted = self.context.core.submit(request).await;
        let mut pending = submitted.map_err(|_| LineError::RouterEnded)?;
        let (retry_after, forwarded) = match pending.answer().await {
            Answer::Started(chunks) => {
                let start_latency = submitted_at.elapsed();
                let Some(builder) = collect(chunks).await else {
                    pending.fail();
                    return Err(LineError::AnswerBroken);
                };
                pending.complete();
                permit.completed(start_latency);
                let completion = builder.finish(CompletionDefaults {
                    trace_id,
                    created_at: unix_seconds(),
                    model: &line.model,
                })?;
                return Ok(Submission::Completed(completion));
            }
            Answer::Rejected {
                retry_after,
                forwarded,
                ..
            } => (retry_after, forwarded),
            Answer::Failed { forwarded, .. } => (None, forwarded),
        };
        pending.complete();
        if forwarded {
            // a model server may have run the attempt, so the request is not submitted again
            return Err(LineError::AttemptsFailed);
        }
        Ok(Submission::Rejected { retry_after })
    }
}

/// Collects an answer; returns `None` if it breaks off.
async fn collect(mut chunks: mpsc::Receiver<Chunk>) -> Option<CompletionBuilder> {
    let mut builder = CompletionBuilder::default();
    loop {
        match chunks.recv().await {
            Some(Chunk::Data(bytes)) => builder.add(&bytes),
            Some(Chunk::Complete) => return Some(builder),
            Some(Chunk::Broken) | None => return None,
        }
    }
}
