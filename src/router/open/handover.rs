//! This process's side of replacements, put together once its actors run.

use std::sync::Arc;

use tokio::sync::{Notify, watch};

use super::actors::Actors;
use super::predecessor::StartState;
use crate::net::handover::{Handover, LimitShares};
use crate::router::HandoverStart;

/// This process's side of replacements; `None` where there are none. `shutdown` turns true when the
/// process shuts down; `successor_serving` is set once a successor serves clients.
pub(super) fn handover_start(
    start: StartState,
    actors: Actors,
    limits: Arc<LimitShares>,
    localities: Vec<String>,
    shutdown: watch::Receiver<bool>,
    successor_serving: watch::Sender<bool>,
) -> Option<HandoverStart> {
    let handover = Handover {
        rendezvous: start.rendezvous?,
        lifecycle: actors.lifecycle,
        limits,
        endpoints: actors.endpoints,
        localities,
        discovery: actors.discovery,
        shutdown,
        successor_serving,
        rebind: Notify::new(),
        owns_socket: false.into(),
    };
    Some(HandoverStart {
        handover: Arc::new(handover),
        predecessor: start.predecessor,
    })
}
