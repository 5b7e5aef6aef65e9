//! Runs one line: submits its request again after each rejection that allows a retry, until the
//! line has a result or the batch stops.

use std::sync::Arc;
use std::time::Duration;

use serde_json::Value;

use super::context::JobContext;
use super::stop::StopSignal;
use crate::backoff::Backoff;
use crate::batch::concurrency::Permit;
use crate::batch::line::{LineError, LineRequest};
use crate::edge::Caller;

/// The minimum delay before a rejected request is submitted again.
const MIN_RESUBMIT_DELAY: Duration = Duration::from_millis(100);
/// The maximum delay if the rejection has no Retry-After.
const MAX_RESUBMIT_DELAY: Duration = Duration::from_secs(5);

/// The result of running a line that did not fail.
pub(super) enum LineProgress {
    /// The complete answer.
    Completed(Value),
    /// The line exceeds a budget, which has capacity for it after `refill_in`.
    OutOfBudget { refill_in: Duration },
}

/// Runs one line.
pub(super) struct LineWorker {
    pub(super) context: Arc<JobContext>,
    /// The caller that created the batch and is charged for it.
    pub(super) owner: Caller,
    /// When to stop submitting the request.
    pub(super) stop: StopSignal,
}

impl LineWorker {
    /// Runs the line. The permit is held until the line has ended or exceeds a budget.
    pub(super) async fn run(
        &self,
        line: &LineRequest,
        trace_id: &str,
        permit: Permit,
    ) -> Result<LineProgress, LineError> {
        match &self.context.edge {
            Some(edge) => self.run_on_edge(edge, line, trace_id, permit).await,
            None => {
                let completion = self.run_on_core(line, trace_id, permit).await?;
                Ok(LineProgress::Completed(completion))
            }
        }
    }

    /// The delays before rejected requests are submitted again.
    pub(super) fn resubmit_backoff() -> Backoff {
        Backoff::new(MIN_RESUBMIT_DELAY, MAX_RESUBMIT_DELAY)
    }

    /// Waits until a rejected request may be submitted again. Fails if the batch stops first.
    pub(super) async fn wait_to_resubmit(
        &self,
        backoff: &mut Backoff,
        retry_after: Option<Duration>,
    ) -> Result<(), LineError> {
        let next_delay = backoff.next_delay();
        let delay = retry_after.unwrap_or(next_delay);
        self.stop.sleep(delay.max(MIN_RESUBMIT_DELAY)).await?;
        Ok(())
    }
}
