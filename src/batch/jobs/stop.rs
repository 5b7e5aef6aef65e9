//! The conditions that stop a batch before all its lines have been run.

use std::time::{Duration, Instant};

use tokio::sync::watch;

use crate::batch::line::LineError;
use crate::net::listener::wait_until_set;

/// Why the remaining lines of a batch are not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StopReason {
    /// A client cancelled the batch, or the router shuts down.
    Cancelled,
    /// The completion window elapsed.
    Expired,
}

impl From<StopReason> for LineError {
    fn from(reason: StopReason) -> LineError {
        match reason {
            StopReason::Cancelled => LineError::Cancelled,
            StopReason::Expired => LineError::Expired,
        }
    }
}

/// The conditions that stop a batch.
#[derive(Clone, Debug)]
pub(super) struct StopSignal {
    /// Set when a client cancels the batch.
    pub(super) cancelled: watch::Receiver<bool>,
    /// Set when the router shuts down.
    pub(super) shutting_down: watch::Receiver<bool>,
    /// When the batch expires.
    pub(super) expires_at: Instant,
}

impl StopSignal {
    /// Waits until one of the conditions applies. Cancel safe.
    pub(super) async fn stopped(&self) -> StopReason {
        let mut cancelled = self.cancelled.clone();
        let mut shutting_down = self.shutting_down.clone();
        tokio::select! {
            () = wait_until_set(&mut cancelled) => StopReason::Cancelled,
            () = wait_until_set(&mut shutting_down) => StopReason::Cancelled,
            () = tokio::time::sleep_until(self.expires_at.into()) => StopReason::Expired,
        }
    }

    /// Sleeps for `delay`. If the batch stops first, returns the reason at once.
    pub(super) async fn sleep(&self, delay: Duration) -> Result<(), StopReason> {
        tokio::select! {
            () = tokio::time::sleep(delay) => Ok(()),
            reason = self.stopped() => Err(reason),
        }
    }
}
