//! The attempts of a request so far: their number, whether one may have run, and the latest time at
//! which another one may start. The current time is a parameter.

use std::time::{Duration, Instant};

use crate::interface::Outcome;

/// The attempts of a request so far.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct AttemptHistory {
    /// Attempts that were made for other models before the request was submitted.
    prior_attempts: u32,
    /// Attempts that were created, including those that were never sent.
    attempts: u32,
    /// Whether some attempt reached a model server.
    forwarded: bool,
    /// How long after the first attempt that may have run retries are allowed; `None` means without
    /// limit.
    retry_window: Option<Duration>,
    /// When the first attempt that may have run was created.
    first_possible_run: Option<Instant>,
}

impl AttemptHistory {
    /// Creates the history of a request that has no attempts under its own id yet.
    pub fn new(prior_attempts: u32, retry_window: Option<Duration>) -> AttemptHistory {
        AttemptHistory {
            prior_attempts,
            retry_window,
            ..AttemptHistory::default()
        }
    }

    /// Counts the next attempt and returns its number, starting at 0.
    pub fn next_attempt(&mut self) -> u32 {
        let number = self.attempts;
        self.attempts += 1;
        number
    }

    /// The number of attempts under this request's id.
    pub fn attempts(&self) -> u32 {
        self.attempts
    }

    /// The number of all attempts, including those for other models.
    pub fn total_attempts(&self) -> u32 {
        self.prior_attempts.saturating_add(self.attempts)
    }

    /// Whether some attempt reached a model server.
    pub fn forwarded(&self) -> bool {
        self.forwarded
    }

    /// Returns the latest time at which an attempt that is created now may start, if its connection
    /// may take up to `start_timeout`. A retry that was created within its retry window must not
    /// start after the window, even if its connection is established late.
    pub fn latest_start(&self, now: Instant, start_timeout: Duration) -> Instant {
        let latest = now + start_timeout;
        match (self.first_possible_run, self.retry_window) {
            (Some(first_run), Some(window)) => latest.min(first_run + window),
            _ => latest,
        }
    }

    /// Records the outcome of an attempt that was created at this time.
    pub fn record_outcome(&mut self, outcome: Outcome, created_at: Instant) {
        self.forwarded |= !matches!(outcome, Outcome::ConnectFailed | Outcome::NeverSent);
        if !outcome.never_ran() {
            self.first_possible_run.get_or_insert(created_at);
        }
    }
}

#[cfg(test)]
mod tests;
