//! The times at which a request was received, read and decided on, and the lateness of its answer.

use std::time::{Duration, Instant};

use tracing::{info, warn};

use crate::interface::UnservedReason;
use crate::log_limit::LogLimit;
use crate::ops::metrics::{ClientMetrics, RequestOutcome};

static LATE_ANSWER_LOG: LogLimit = LogLimit::new();
static UNSERVED_LOG: LogLimit = LogLimit::new();
static BROKEN_STREAM_LOG: LogLimit = LogLimit::new();

/// The times of a request that is being answered.
#[derive(Clone, Copy, Debug)]
pub(super) struct AnswerTiming {
    /// The earliest instant at which the request's last byte may have arrived.
    pub(super) received_at: Instant,
    /// When the request had been read completely.
    pub(super) read_at: Instant,
    /// How long the client waits, counted from `received_at`.
    pub(super) timeout: Duration,
}

impl AnswerTiming {
    /// Logs that a request is not served, and how much of the client's waiting time was left.
    pub(super) fn log_unserved(&self, id: &str, outcome: RequestOutcome, reason: UnservedReason) {
        let now = Instant::now();
        let Some(omitted) = UNSERVED_LOG.admit(now) else {
            return;
        };
        let left = (self.received_at + self.timeout).saturating_duration_since(now);
        info!(
            "request {id}: {outcome:?} ({}) {} ms after it was read, {} ms left{omitted}",
            reason.label(),
            now.saturating_duration_since(self.read_at).as_millis(),
            left.as_millis(),
        );
    }

    /// Logs that the client's stream is closed without its last chunk.
    pub(super) fn log_broken_stream(&self, id: &str) {
        let now = Instant::now();
        if let Some(omitted) = BROKEN_STREAM_LOG.admit(now) {
            info!(
                "request {id}: stream broken {} ms after the request was read, closing without the last chunk{omitted}",
                now.saturating_duration_since(self.read_at).as_millis(),
            );
        }
    }

    /// Records and logs a late answer. `decided_at` is when the answer was decided on; it has begun
    /// to be written now.
    pub(super) fn record(
        &self,
        metrics: &ClientMetrics,
        outcome: RequestOutcome,
        decided_at: Instant,
    ) {
        let now = Instant::now();
        let late = now.saturating_duration_since(self.received_at + self.timeout);
        if late.is_zero() {
            return;
        }
        metrics.record_late_answer(outcome, late.as_secs_f64());
        if let Some(omitted) = LATE_ANSWER_LOG.admit(now) {
            let milliseconds =
                |from: Instant, to: Instant| to.saturating_duration_since(from).as_millis();
            warn!(
                "answer {} ms late ({outcome:?}, deadline {} ms): unread for {} ms, decided after {} ms, written after {} ms{omitted}",
                late.as_millis(),
                self.timeout.as_millis(),
                milliseconds(self.received_at, self.read_at),
                milliseconds(self.read_at, decided_at),
                milliseconds(decided_at, now),
            );
        }
    }
}
