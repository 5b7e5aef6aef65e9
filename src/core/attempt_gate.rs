//! The gate that an attempt passes just before its first byte is written. It is passed or it is
//! cancelled, whichever comes first, and never both. It owns no connection; time is passed in.

use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Instant;

use super::Client;

/// Stages of a gate. It leaves `WAITING` once, for one of the other two.
const WAITING: u8 = 0;
const STARTED: u8 = 1;
const CANCELLED: u8 = 2;

/// Whether an attempt may start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartDecision {
    /// It starts now; from here on it may run at the model server.
    Start,
    /// It must not start any more: it is past its latest start, or was cancelled.
    TooLate,
    /// Its client has disconnected.
    ClientDisconnected,
}

/// Decides between an attempt's first byte and its cancellation. It ensures that an attempt with an
/// outcome is not started any more, and that an attempt is reported as never run only if its first
/// byte was not written.
#[derive(Debug)]
pub struct AttemptGate {
    stage: AtomicU8,
    latest_start: Instant,
    client: Option<Arc<dyn Client>>,
}

impl AttemptGate {
    /// The gate of an attempt that may start until this instant.
    pub fn new(latest_start: Instant, client: Option<Arc<dyn Client>>) -> AttemptGate {
        AttemptGate {
            stage: AtomicU8::new(WAITING),
            latest_start,
            client,
        }
    }

    /// The latest instant at which the attempt may start.
    pub fn latest_start(&self) -> Instant {
        self.latest_start
    }

    /// Requests to write the first byte. The endpoint list or the retry window by which the attempt
    /// was ordered may no longer be in force when its connection comes up, so a late start is
    /// refused. So is one for a client that disconnected while this process was suspended or busy,
    /// whose disconnection no message has reported yet.
    pub fn try_start(&self, now: Instant) -> StartDecision {
        if now > self.latest_start {
            return StartDecision::TooLate;
        }
        if self
            .client
            .as_ref()
            .is_some_and(|client| client.has_disconnected())
        {
            return StartDecision::ClientDisconnected;
        }
        if self.advance_to(STARTED) {
            StartDecision::Start
        } else {
            StartDecision::TooLate
        }
    }

    /// Cancels the attempt if it has not started. Returns whether it had not; it never runs then.
    pub fn cancel_unstarted(&self) -> bool {
        self.advance_to(CANCELLED)
    }

    fn advance_to(&self, stage: u8) -> bool {
        self.stage
            .compare_exchange(WAITING, stage, Ordering::AcqRel, Ordering::Acquire)
            .is_ok()
    }
}

#[cfg(test)]
mod tests;
