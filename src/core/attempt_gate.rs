//! The gate that an attempt has to pass just before its first byte is written. An attempt either
//! starts or is cancelled, whichever happens first, and never both. The gate owns no connection;
//! the current time is a parameter.

use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Instant;

use super::Client;

/// The stages of a gate. The stage changes only once, from `WAITING` to one of the other two.
const WAITING: u8 = 0;
const STARTED: u8 = 1;
const CANCELLED: u8 = 2;

/// Whether an attempt may start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartDecision {
    /// The attempt starts now; from here on it may run at the model server.
    Start,
    /// The attempt must not start: its latest start has passed, or it was cancelled.
    TooLate,
    /// The client has disconnected.
    ClientDisconnected,
}

/// Decides whether an attempt starts or is cancelled. The gate ensures that an attempt that has an
/// outcome does not start, and that an attempt is reported as never run only if its first byte was
/// not written.
#[derive(Debug)]
pub struct AttemptGate {
    stage: AtomicU8,
    latest_start: Instant,
    client: Option<Arc<dyn Client>>,
}

impl AttemptGate {
    /// Creates the gate of an attempt that may start until `latest_start`.
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

    /// Asks for permission to write the first byte. A start after `latest_start` is refused,
    /// because the endpoint list or the retry window on which the attempt is based may no longer be
    /// valid when its connection is established. A start is also refused if the client disconnected
    /// while this process was suspended or busy, even if no message has reported the disconnection
    /// yet.
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

    /// Cancels the attempt if it has not started. Returns whether this call cancelled the attempt,
    /// which then never runs.
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
