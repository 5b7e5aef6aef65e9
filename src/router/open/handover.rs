//! Assembles this process's side of handovers once its actors run.

use std::sync::Arc;

use tokio::sync::{Notify, watch};

use super::actors::Actors;
use super::predecessor::StartState;
use crate::net::handover::{Handover, LimitShares};
use crate::request_ids::RequestIds;
use crate::router::HandoverStart;

/// Returns this process's side of handovers; `None` if the process takes part in none. `shutdown`
/// becomes true when the process shuts down; `successor_serving` is set once a successor serves
/// clients.
pub(super) fn handover_start(
    state: StartState,
    actors: Actors,
    limits: Arc<LimitShares>,
    request_ids: RequestIds,
    shutdown: watch::Receiver<bool>,
    successor_serving: watch::Sender<bool>,
) -> Option<HandoverStart> {
    let handover = Handover {
        rendezvous: state.rendezvous?,
        lifecycle: actors.lifecycle,
        limits,
        endpoints: actors.endpoints,
        predecessor_lists: actors.predecessor_lists,
        request_ids,
        shutdown,
        successor_serving,
        rebind: Notify::new(),
    };
    Some(HandoverStart {
        handover: Arc::new(handover),
        predecessor: state.predecessor,
    })
}
