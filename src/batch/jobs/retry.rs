//! Retries spool operations that fail temporarily, so that batches resume once the spool works.

use std::io::ErrorKind;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::time::sleep;
use tracing::warn;

use super::stop::StopSignal;
use crate::backoff::Backoff;
use crate::batch::store::StoreError;
use crate::log_limit::LogLimit;

/// The delay before the first retry. It is short because a full spool may have space again at once.
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(20);
/// The maximum delay between retries, and so the longest wait after an operator repairs the spool.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(5);
/// How long operations are still retried after the batch has been told to stop.
const RETRY_TIME_AFTER_STOP: Duration = Duration::from_secs(2);

/// The retry state of one operation.
pub(super) struct RetryState {
    backoff: Backoff,
    /// The time of the last retry; set once the batch has been told to stop.
    give_up_at: Option<Instant>,
}

impl RetryState {
    /// The state before the first failure.
    pub(super) fn new() -> RetryState {
        RetryState {
            backoff: Backoff::new(FIRST_RETRY_DELAY, MAX_RETRY_DELAY),
            give_up_at: None,
        }
    }
}

/// Retries the spool operations of one batch.
#[derive(Clone)]
pub(super) struct SpoolRetrier {
    /// The batch's id, for log lines.
    pub(super) batch_id: String,
    /// Tells when the batch stops, which limits the time for further retries.
    pub(super) stop: StopSignal,
    /// Shared by all batches, because a spool failure affects all of them.
    pub(super) log_limit: Arc<LogLimit>,
}

impl SpoolRetrier {
    /// Waits until a failed operation is to be retried; returns its error if it is not retried.
    pub(super) async fn wait_to_retry(
        &self,
        state: &mut RetryState,
        error: StoreError,
    ) -> Result<(), StoreError> {
        let is_late = |at| Instant::now() >= at;
        if !is_transient(&error) || state.give_up_at.is_some_and(is_late) {
            return Err(error);
        }
        self.log_retry(&error);
        let delay = state.backoff.next_delay();
        if let Some(give_up_at) = state.give_up_at {
            sleep(delay.min(give_up_at.saturating_duration_since(Instant::now()))).await;
        } else if self.stop.sleep(delay).await.is_err() {
            *state = RetryState {
                give_up_at: Some(Instant::now() + RETRY_TIME_AFTER_STOP),
                ..RetryState::new()
            };
        }
        Ok(())
    }

    fn log_retry(&self, error: &StoreError) {
        if let Some(omitted) = self.log_limit.admit(Instant::now()) {
            warn!(
                "{}: {error}; retrying the operation{omitted}",
                self.batch_id
            );
        }
    }
}

/// Whether a retry may succeed, either without intervention or after files have been deleted.
fn is_transient(error: &StoreError) -> bool {
    match error {
        StoreError::Full => true,
        StoreError::Io(e) => e.kind() != ErrorKind::NotFound,
        _ => false,
    }
}
