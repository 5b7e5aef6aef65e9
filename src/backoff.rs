//! Exponential backoff between the retries of a failing call. Callers choose the initial and the
//! maximum delay.

use std::time::Duration;

/// The delays between retries: each is twice the previous one, up to the maximum.
#[derive(Clone, Debug)]
pub struct Backoff {
    initial: Duration,
    max: Duration,
    next: Duration,
}

impl Backoff {
    /// Creates a backoff that begins with the initial delay.
    pub const fn new(initial: Duration, max: Duration) -> Backoff {
        Backoff {
            initial,
            max,
            next: initial,
        }
    }

    /// Returns the delay before the next retry.
    pub fn next_delay(&mut self) -> Duration {
        let delay = self.next.min(self.max);
        self.next = delay.saturating_mul(2);
        delay
    }

    /// Starts again from the initial delay, after a successful call.
    pub fn reset(&mut self) {
        self.next = self.initial;
    }
}

#[cfg(test)]
mod tests;
