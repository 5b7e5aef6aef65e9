//! The state with which a router starts: that of the predecessor process, where there is one, else
//! that of the files.

use std::sync::Arc;
use std::time::Instant;

use tokio::sync::watch;

use crate::config::Config;
use crate::core::{Clock, CoreHandle};
use crate::lifecycle::{DrainingSince, Lifecycle};
use crate::net::discovery::endpoint_list::EndpointList;
use crate::net::handover::{LimitShares, PredecessorLink, Rendezvous};
use crate::net::http::MAX_BODY_BYTES;
use crate::ops::maintenance_state::MaintenanceState;

/// The part of the memory limit that bodies of requests may fill, as a divisor.
const BODY_MEMORY_DIVISOR: usize = 3;
/// The least memory for bodies, in KiB, whatever the memory limit: one of the largest bodies for
/// each of two processes during a handover. With less no large body would ever be accepted.
const MIN_BODY_MEMORY_KIB: usize = 2 * (MAX_BODY_BYTES >> 10);

/// The state with which a router starts.
pub(super) struct StartState {
    /// Where other processes of the router find this one; `None` where it neither replaces another
    /// one nor is replaced.
    pub(super) rendezvous: Option<Rendezvous>,
    /// The process that this one replaces.
    pub(super) predecessor: Option<PredecessorLink>,
    /// The maintenance state, with its times on `clock`.
    pub(super) maintenance: MaintenanceState,
    clock: Clock,
}

impl StartState {
    /// Connects to the predecessor and takes over its maintenance state and its endpoint list, the
    /// latter into `config`. Without a predecessor the file's maintenance state is read.
    pub(super) async fn load(rendezvous: Option<Rendezvous>, config: &mut Config) -> StartState {
        let mut predecessor = match &rendezvous {
            Some(rendezvous) => rendezvous.connect_to_predecessor().await,
            None => None,
        };
        let received = predecessor
            .as_mut()
            .and_then(|link| link.maintenance.take());
        let maintenance = match (received, &rendezvous) {
            (Some(maintenance), _) => maintenance,
            (None, Some(rendezvous)) => rendezvous.load_maintenance().await,
            (None, None) => MaintenanceState::default(),
        };
        let clock = Clock::start();
        let maintenance = maintenance.on_clock(clock.wall_time(), clock.time_at(Instant::now()));
        if let Some(list) = predecessor.as_mut().and_then(|link| link.endpoints.take()) {
            prefer_newer_list(config, list);
        }
        StartState {
            rendezvous,
            predecessor,
            maintenance,
            clock,
        }
    }

    /// Whether this process replaces another one.
    pub(super) fn has_predecessor(&self) -> bool {
        self.predecessor.is_some()
    }

    /// Whether another process may replace this one.
    pub(super) fn is_replaceable(&self) -> bool {
        self.rendezvous.is_some()
    }

    /// The limits: all of them, or nothing as yet where the predecessor transfers a share.
    pub(super) fn limit_shares(&self, config: &Config) -> LimitShares {
        let body_kib = ((config.memory_bytes / BODY_MEMORY_DIVISOR) >> 10).max(MIN_BODY_MEMORY_KIB);
        match self.predecessor {
            Some(_) => LimitShares::empty(config.max_descriptors, body_kib),
            None => LimitShares::all(config.max_descriptors, body_kib),
        }
    }

    /// Starts the lifecycle with the maintenance state, which is left empty here.
    pub(super) fn start_lifecycle(
        &mut self,
        core: CoreHandle,
        drain: watch::Sender<DrainingSince>,
    ) -> Arc<Lifecycle> {
        Lifecycle::new(
            core,
            drain,
            std::mem::take(&mut self.maintenance),
            self.rendezvous.as_ref().map(Rendezvous::maintenance_file),
            self.clock,
            !self.has_predecessor(),
        )
    }
}

/// Starts on the predecessor's endpoint list unless the configuration has a newer one: discovery
/// has already sent the predecessor's list to this router.
fn prefer_newer_list(config: &mut Config, list: EndpointList) {
    let known_revision = config.known_endpoints.as_ref().map(EndpointList::revision);
    if known_revision.is_none_or(|revision| revision <= list.revision()) {
        config.known_endpoints = Some(list);
    }
}

#[cfg(test)]
mod tests;
