//! Updates of the endpoint list: opens and closes upstreams, cancels attempts at servers that no
//! longer accept requests, and notifies the decision module.

use std::sync::Arc;
use std::time::Instant;

use rustc_hash::{FxHashMap, FxHashSet};
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
    pub started_at: Timestamp,
    /// The upstream's mailbox.
    pub commands: mpsc::Sender<UpstreamCommand>,
}

impl Core {
    /// Processes an update of the endpoint list.
    pub(super) fn update_endpoints(&mut self, mut update: EndpointsUpdate) {
        let kind = update.kind;
        debug!(
            "endpoint list update: {kind:?} with {} endpoints",
            update.endpoints.len()
        );
        self.correct_entries(&mut update);
        self.fleet_metrics_published_at = None;
        if matches!(kind, EndpointListKind::Complete | EndpointListKind::Error) {
            self.stalls.endpoints_confirmed();
        }
        let is_complete = matches!(
            kind,
            EndpointListKind::Complete | EndpointListKind::Persisted
        );
        if is_complete {
            self.load.set_ready();
            self.close_unlisted_upstreams(&update.endpoints);
        }
        let mut by_address = self.upstreams_by_address();
        let mut superseded = FxHashSet::default();
        for endpoint in &update.endpoints {
            self.update_upstream(endpoint, &mut by_address, &mut superseded);
        }
        let entries = update.endpoints.into_iter().map(|endpoint| endpoint.entry);
        let entries: Arc<[ReplicaEntry]> = entries.collect();
        self.events.push(Event::EndpointsUpdated {
            kind,
            entries: entries.clone(),
        });
        self.cancel_unstarted_at_unavailable(&entries, is_complete);
        // an attempt that still waits for a connection would reach the new server
        self.cancel_unstarted(|replica| superseded.contains(&replica), Instant::now());
    }

    /// Converts the stated start times to this process's clock and applies the operators'
    /// exclusions.
    fn correct_entries(&mut self, update: &mut EndpointsUpdate) {
        let now = self.clock.time_at(Instant::now());
        let entries = update.endpoints.iter_mut();
        let entries = entries.map(|endpoint| &mut endpoint.entry);
        self.start_times.correct(update.kind, entries, now);
        let entries = update.endpoints.iter_mut();
        let entries = entries.map(|endpoint| &mut endpoint.entry);
        self.exclusions.apply(update.kind, entries, now);
    }

    /// Closes the upstreams of endpoints that are missing from a complete list. An upstream whose
    /// command channel is dropped still finishes its attempts in flight.
    fn close_unlisted_upstreams(&mut self, endpoints: &[Endpoint]) {
        let replicas = endpoints.iter().map(|endpoint| endpoint.entry.replica);
        let listed: FxHashSet<ReplicaId> = replicas.collect();
        self.upstreams.retain(|id, _| listed.contains(id));
    }

    /// Cancels attempts that wait for a connection to a model server which no longer accepts
    /// requests. Establishing a connection may take longer than the drain bound, so such an attempt
    /// could start after the bound. If `is_complete`, servers without an entry have left the list.
    fn cancel_unstarted_at_unavailable(&mut self, entries: &[ReplicaEntry], is_complete: bool) {
        let states: FxHashMap<ReplicaId, EndpointState> = entries
            .iter()
            .map(|entry| (entry.replica, entry.state))
            .collect();
        let in_service = |replica: ReplicaId| match states.get(&replica) {
            Some(state) => *state == EndpointState::InService,
            None => !is_complete,
        };
        self.cancel_unstarted(|replica| !in_service(replica), Instant::now());
    }

    /// Groups the endpoints that have an upstream by address.
    fn upstreams_by_address(&self) -> FxHashMap<String, Vec<ReplicaId>> {
        let mut by_address: FxHashMap<String, Vec<ReplicaId>> = FxHashMap::default();
        for (&replica, upstream) in &self.upstreams {
            let replicas = by_address.entry(upstream.address.clone()).or_default();
            replicas.push(replica);
        }
        by_address
    }

    /// Opens the upstream of an endpoint that is new or has restarted, and closes the upstream of
    /// an endpoint that was removed from the list. Adds the replicas to `superseded` whose server
    /// process has been replaced by another one.
    fn update_upstream(
        &mut self,
        endpoint: &Endpoint,
        by_address: &mut FxHashMap<String, Vec<ReplicaId>>,
        superseded: &mut FxHashSet<ReplicaId>,
    ) {
        let replica = endpoint.entry.replica;
        if endpoint.entry.state == EndpointState::Removed {
            self.upstreams.remove(&replica);
            return;
        }
        let address = endpoint.address.clone();
        let started_at = endpoint.entry.started_at;
        // After a restart, the idle connections still lead to the previous server process, which
        // may have ended without closing them.
        let unchanged = |upstream: &UpstreamHandle| {
            upstream.address == address && upstream.started_at == started_at
        };
        if self.upstreams.get(&replica).is_some_and(unchanged) {
            return;
        }
        // An older endpoint at the same address has ended, although no update has removed it from
        // the list. Its attempts must not reach the new endpoint.
        let at_address = by_address.entry(address.clone()).or_default();
        for older in std::mem::take(at_address) {
            let newer = |upstream: &UpstreamHandle| {
                upstream.address == address && upstream.started_at > started_at
            };
            if self.upstreams.get(&older).is_some_and(newer) {
                at_address.push(older);
            } else if self
                .upstreams
                .get(&older)
                .is_some_and(|u| u.address == address)
            {
                self.upstreams.remove(&older);
                superseded.insert(older);
            }
        }
        if self.upstreams.contains_key(&replica) {
            superseded.insert(replica);
        }
        at_address.push(replica);
        let commands = self.connector.open(replica, endpoint);
        self.upstreams.insert(
            replica,
            UpstreamHandle {
                address,
                started_at,
                commands,
            },
        );
    }
}
