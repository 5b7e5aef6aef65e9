//! The state with which a router starts, from the predecessor process or otherwise from files.

use std::sync::Arc;
use std::time::Instant;

use tokio::sync::watch;
use tracing::warn;

use crate::config::Config;
use crate::core::{Clock, CoreHandle};
use crate::lifecycle::{DrainingSince, Lifecycle};
use crate::memory::{MIN_MEMORY_MIB, MemoryPlan};
use crate::net::connection_limit::ConnectionCapacities;
use crate::net::discovery::endpoint_list::EndpointList;
use crate::net::handover::{LimitShares, PredecessorLink, Rendezvous};
use crate::ops::maintenance_state::MaintenanceState;

/// The state with which a router starts.
pub(super) struct StartState {
    /// Where the router's processes find each other; `None` if this process can have neither a
    /// predecessor nor a successor.
    pub(super) rendezvous: Option<Rendezvous>,
    /// The connection to the process that this one replaces.
    pub(super) predecessor: Option<PredecessorLink>,
    /// The maintenance state, with its times on `clock`.
    pub(super) maintenance: MaintenanceState,
    clock: Clock,
}

impl StartState {
    /// Connects to the predecessor, and takes over its maintenance state and, into `config`, its
    /// endpoint list. If no predecessor sends a maintenance state, it is read from its file in the
    /// router's folder; without a folder the maintenance state is empty.
    pub(super) async fn load(rendezvous: Option<Rendezvous>, config: &mut Config) -> StartState {
        let mut predecessor = match &rendezvous {
            Some(rendezvous) => rendezvous.connect_to_predecessor().await,
            None => None,
        };
        let received = predecessor
            .as_mut()
            .and_then(|link| link.reply.maintenance.take());
        let maintenance = match (received, &rendezvous) {
            (Some(maintenance), _) => maintenance,
            (None, Some(rendezvous)) => rendezvous.load_maintenance().await,
            (None, None) => MaintenanceState::default(),
        };
        let clock = Clock::start();
        let maintenance = maintenance.on_clock(clock.wall_time(), clock.time_at(Instant::now()));
        let received = predecessor
            .as_mut()
            .and_then(|link| link.reply.endpoints.take());
        if let Some(list) = received {
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

    /// Returns this process's shares of the limits: the whole limits, or initially none if there is
    /// a predecessor, which transfers shares later.
    pub(super) fn limit_shares(&self, config: &Config) -> LimitShares {
        let plan = MemoryPlan::new(config.memory_bytes);
        if config.memory_bytes < MIN_MEMORY_MIB << 20 {
            warn!(
                "limits.memory_mb is below {MIN_MEMORY_MIB}: at most {} clients may be connected",
                plan.connections
            );
        }
        let descriptors = ConnectionCapacities::descriptors_for(plan.connections);
        let descriptors = descriptors.min(config.max_descriptors);
        match self.predecessor {
            Some(_) => LimitShares::empty(descriptors, plan.shared_kib),
            None => LimitShares::all(descriptors, plan.shared_kib),
        }
    }

    /// Starts the lifecycle and moves the maintenance state into it.
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

/// Uses the predecessor's endpoint list unless the configuration has a newer one. Discovery has
/// already sent the predecessor's list to this router.
fn prefer_newer_list(config: &mut Config, list: EndpointList) {
    let known_revision = config.known_endpoints.as_ref().map(EndpointList::revision);
    if known_revision.is_none_or(|revision| revision <= list.revision()) {
        config.known_endpoints = Some(list);
    }
}

#[cfg(test)]
mod tests;
