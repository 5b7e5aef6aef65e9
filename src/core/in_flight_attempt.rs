//! An attempt in flight, and the guard that cancels it.

use std::sync::Arc;
use std::time::Instant;

use tokio::sync::oneshot;

use super::AttemptGate;
use crate::interface::ReplicaId;

/// A guard that cancels an attempt at its upstream when it is dropped.
#[derive(Debug)]
pub(super) struct CancelGuard {
    _closes_on_drop: oneshot::Sender<()>,
}

impl CancelGuard {
    /// Creates a guard and the receiver that closes when the guard is dropped.
    pub fn new() -> (CancelGuard, oneshot::Receiver<()>) {
        let (sender, cancelled) = oneshot::channel();
        let guard = CancelGuard {
            _closes_on_drop: sender,
        };
        (guard, cancelled)
    }
}

/// An attempt that was created and has no outcome yet. Dropping it cancels the attempt.
#[derive(Debug)]
pub(super) struct InFlightAttempt {
    /// Its number within the request, from 0.
    pub number: u32,
    /// The replica to which it is sent.
    pub replica: ReplicaId,
    /// When it was created.
    pub created_at: Instant,
    /// Decides whether it starts or is cancelled.
    pub gate: Arc<AttemptGate>,
    /// Cancels the attempt when it is dropped.
    pub _cancel_guard: CancelGuard,
}
