//! The RPC table: which RPCs are open and where each one's call attempts stand.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Instant;

use tokio::sync::oneshot;

use super::{Answer, Payload};
use crate::interface::{ReplicaId, Time};

/// The call attempt that is out.
#[derive(Debug)]
pub(super) struct Out {
    /// Its number.
    pub trial: u32,
    /// Where it went.
    pub replica: ReplicaId,
    /// When it was ordered.
    pub since: Instant,
    /// When the router stops waiting; none once it has begun to answer.
    pub until: Option<Time>,
    /// Set once its first byte is about to be written.
    pub begun: Arc<AtomicBool>,
    /// Dropped to call it off.
    pub _hold: oneshot::Sender<()>,
}

/// An RPC in the table.
#[derive(Debug)]
pub(super) struct Open {
    /// Where its answer goes; none once it is closed.
    pub answer: Option<oneshot::Sender<Answer>>,
    /// What is sent for it.
    pub payload: Payload,
    /// When its client stops waiting.
    pub expires: Time,
    /// When it had come in whole.
    pub received: Instant,
    /// Call attempts ordered so far.
    pub trials: u32,
    /// Call attempts made before it was submitted, for other models.
    pub spent: u32,
    /// Some attempt reached a server.
    pub sent: bool,
    /// Somebody waits for it now.
    pub live: bool,
    /// The one attempt that is out. At most one: an order while it is out is moot.
    pub out: Option<Out>,
}

impl Open {
    /// Whether nothing more is owed or awaited.
    pub fn over(&self) -> bool {
        self.answer.is_none() && self.out.is_none()
    }
}
