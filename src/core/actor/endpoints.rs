//! Updates of the endpoint list: what they change at the upstreams and at attempts, and the event
//! that the decision module gets.

use std::sync::Arc;
use std::time::Instant;

use rustc_hash::FxHashMap;
use tokio::sync::mpsc;
use tracing::debug;

use super::Core;
use crate::core::{Endpoint, EndpointsUpdate, UpstreamCommand};
use crate::interface::{
    EndpointListKind, EndpointState, Event, ReplicaEntry, ReplicaId, Timestamp,
};

/// The upstream of an endpoint.
pub(super) struct UpstreamHandle {
    /// The endpoint's address.
    pub address: String,
    /// When the endpoint started.
    pub started: Timestamp,
    /// The upstream's commands.
    pub commands: mpsc::Sender<UpstreamCommand>,
}

impl Core {
    pub(super) fn update_endpoints(&mut self, mut update: EndpointsUpdate) {
        let kind = update.kind;
        debug!(
            "endpoint list: {kind:?}, {} endpoints",
            update.endpoints.len()
        );
        let now = self.clock.time_at(Instant::now());
        let entries = update.endpoints.iter_mut().map(|e| &mut e.entry);
        self.start_times.correct(kind, entries, now);
        let entries = update.endpoints.iter_mut().map(|e| &mut e.entry);
        self.exclusions.apply(kind, entries, now);
        self.fleet_published_at = None;
        if matches!(kind, EndpointListKind::Complete | EndpointListKind::Error) {
            self.stalls.endpoints_confirmed();
        }
        let complete = !matches!(kind, EndpointListKind::Partial | EndpointListKind::Error);
        if complete {
            self.load.set_ready();
            // An upstream whose command channel is dropped finishes the attempts that it has.
            let listed: Vec<ReplicaId> = update.endpoints.iter().map(|e| e.entry.replica).collect();
            self.upstreams.retain(|id, _| listed.contains(id));
        }
        for endpoint in &update.endpoints {
            self.update_upstream(endpoint);
        }
        let entries: Arc<[ReplicaEntry]> = update.endpoints.into_iter().map(|e| e.entry).collect();
        self.events.push(Event::EndpointsUpdated {
            kind,
            entries: entries.clone(),
        });
        self.cancel_unstarted_at_unavailable(&entries, complete);
    }

    /// Cancels attempts that wait for a connection to a model server which no longer takes
    /// requests. Connections may take longer than the drain bound, so such an attempt could start
    /// past it.
    fn cancel_unstarted_at_unavailable(&mut self, entries: &[ReplicaEntry], complete: bool) {
        let states: FxHashMap<ReplicaId, EndpointState> = entries
            .iter()
            .map(|entry| (entry.replica, entry.state))
            .collect();
        let in_service = |replica: ReplicaId| match states.get(&replica) {
            Some(state) => *state == EndpointState::InService,
            None => !complete,
        };
        self.cancel_unstarted(|replica| !in_service(replica), Instant::now());
    }

    /// Opens the upstream of an endpoint that is new or has restarted, and closes that of one which
    /// is gone.
    fn update_upstream(&mut self, endpoint: &Endpoint) {
        let replica = endpoint.entry.replica;
        if endpoint.entry.state == EndpointState::Removed {
            self.upstreams.remove(&replica);
            return;
        }
        let (address, started) = (endpoint.address.clone(), endpoint.entry.started_at);
        // After a restart the idle connections lead to the former process, which may have ended
        // without closing them.
        let unchanged =
            |upstream: &UpstreamHandle| upstream.address == address && upstream.started == started;
        if self.upstreams.get(&replica).is_some_and(unchanged) {
            return;
        }
        // An older endpoint at the same address has gone unnoticed: what is meant for it must not
        // reach the new one.
        self.upstreams
            .retain(|_, upstream| upstream.address != address || upstream.started > started);
        let commands = self.connector.open(replica, endpoint);
        self.upstreams.insert(
            replica,
            UpstreamHandle {
                address,
                started,
                commands,
            },
        );
    }
}
