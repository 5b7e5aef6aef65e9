//! The attempts of a request so far: their number, whether one may have run, and until when another
//! may start. Pure: time is passed in.

use std::time::{Duration, Instant};

use crate::interface::Outcome;

/// The attempts of a request so far.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct AttemptHistory {
    /// Attempts that were made before it was submitted, for other models.
    prior_attempts: u32,
    /// Attempts that were ordered, those that were never sent included.
    attempts: u32,
    /// Some attempt reached a model server.
    forwarded: bool,
    /// How long after the first attempt that may have run retries are allowed; `None`: without
    /// limit.
    retry_window: Option<Duration>,
    /// When that attempt was ordered.
    first_possible_run: Option<Instant>,
}

impl AttemptHistory {
    /// The history of a request without attempts of its own.
    pub fn new(prior_attempts: u32, retry_window: Option<Duration>) -> AttemptHistory {
        AttemptHistory {
            prior_attempts,
            retry_window,
            ..AttemptHistory::default()
        }
    }

    /// Numbers the next attempt.
    pub fn next_attempt(&mut self) -> u32 {
        let number = self.attempts;
        self.attempts += 1;
        number
    }

    /// Attempts under this request's id.
    pub fn attempts(&self) -> u32 {
        self.attempts
    }

    /// All attempts, those for other models included.
    pub fn total_attempts(&self) -> u32 {
        self.prior_attempts.saturating_add(self.attempts)
    }

    /// Whether some attempt reached a model server.
    pub fn forwarded(&self) -> bool {
        self.forwarded
    }

    /// Until when an attempt that is ordered now may start, where its connection may take up to
    /// `start_timeout`. A retry that was ordered within its retry window must not start after it,
    /// however late its connection comes up.
    pub fn latest_start(&self, now: Instant, start_timeout: Duration) -> Instant {
        let latest = now + start_timeout;
        match (self.first_possible_run, self.retry_window) {
            (Some(first_run), Some(window)) => latest.min(first_run + window),
            _ => latest,
        }
    }

    /// Records the outcome of an attempt that was ordered at this time.
    pub fn record_outcome(&mut self, outcome: Outcome, ordered_at: Instant) {
        self.forwarded |= !matches!(outcome, Outcome::ConnectFailed | Outcome::NeverSent);
        if !outcome.never_ran() {
            self.first_possible_run.get_or_insert(ordered_at);
        }
    }
}

#[cfg(test)]
mod tests;
