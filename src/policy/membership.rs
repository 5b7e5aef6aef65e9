//! The endpoint list: which replicas exist, how an update of the list changes the balancer's state,
//! and whether any replica can serve a request. Discovery obtains the list; `list_poll_timer`
//! decides when it is polled.

use rand::RngExt;

use super::balancer::Balancer;
use super::hash_ring::{HashRing, RingMember};
use super::replica::ReplicaState;
use super::replica_table::ReplicaIndex;
use crate::interface::{Action, EndpointListKind, ReplicaEntry, RequestId, Span, UnservedReason};

impl Balancer {
    /// Handles a complete endpoint list, a change to the list, or a failed poll of the list.
    pub(super) fn on_endpoints_updated(
        &mut self,
        kind: EndpointListKind,
        entries: &[ReplicaEntry],
        actions: &mut Vec<Action>,
    ) {
        if kind == EndpointListKind::Error {
            self.list_poll_timer
                .poll_failed(self.rng.random(), self.now);
            return;
        }
        self.list_poll_timer.poll_succeeded();
        if kind != EndpointListKind::Partial {
            for replica in self.replicas.iter_mut() {
                replica.listed = false;
            }
        }
        // known replicas come first, because a new replica may get the index of an unlisted one
        let (known, new): (Vec<_>, Vec<_>) = entries
            .iter()
            .partition(|entry| self.replica_index.contains_key(&entry.replica));
        for entry in known.into_iter().chain(new) {
            self.update_entry(entry);
        }
        self.maturity.rebuild(&mut self.replicas, self.now);
        self.update_derived_state();
        self.complete_unservable(actions);
    }

    /// Updates the state that is derived from all replicas in service: their sizes, the hash ring,
    /// and the time when all of them are warm.
    fn update_derived_state(&mut self) {
        self.update_sizes();
        let in_service = || {
            self.replicas
                .enumerate()
                .filter(|(_, replica)| replica.is_in_service())
        };
        self.fleet_prefill_models
            .set_sizes(in_service().map(|(_, replica)| replica.size));
        self.ring = HashRing::new(in_service().map(|(index, replica)| RingMember {
            index,
            key: replica.entry.replica.0,
            weight: self.fleet_prefill_models.relative_to_mean(replica.size),
        }));
        let last_start = in_service()
            .map(|(_, replica)| replica.entry.started_at)
            .filter(|started| !started.is_zero())
            .max();
        self.all_warm_at = last_start.map_or(self.now, |at| at + self.settings.slow_start_duration);
    }

    /// Completes queued requests that no replica can serve any more. Waiting for a model that no
    /// listed replica serves would use up the time in which the client could use another model.
    fn complete_unservable(&mut self, actions: &mut Vec<Action>) {
        let queued: Vec<RequestId> = self.queue.ids();
        for id in queued {
            if !self.has_eligible_replica(id) {
                self.complete(id, UnservedReason::NoReplica, actions);
            }
        }
    }

    /// Whether any replica is eligible for a request. An eligible replica is in service, serves the
    /// request's model, and is either warm or the replica of the request's slow-start slot. Before
    /// the first list, an eligible replica is assumed to exist for requests that name no model.
    pub(super) fn has_eligible_replica(&self, id: RequestId) -> bool {
        let Some(request) = self.requests.get(&id) else {
            return false;
        };
        let model = request.arrival.model;
        if model == 0 && self.replicas.is_empty() {
            return true;
        }
        let is_eligible = |index: ReplicaIndex| {
            let replica = &self.replicas[index];
            replica.is_in_service()
                && replica.serves(model)
                && (!self.is_warming_up(index) || request.slow_start_slot == Some(index))
        };
        self.replicas.indices().any(is_eligible)
    }

    /// Stores a replica's entry. A replica that is new or has restarted has no measurements.
    fn update_entry(&mut self, entry: &ReplicaEntry) {
        let weight = if self.settings.weights_are_sizes {
            entry.weight
        } else {
            1.0
        };
        let entry = ReplicaEntry {
            weight,
            ..entry.clone()
        };
        let known = self.replica_index.get(&entry.replica).copied();
        if let Some(index) = known {
            let replica = &mut self.replicas[index];
            let same_incarnation = replica.entry.started_at == entry.started_at;
            replica.entry = entry.clone();
            replica.listed = true;
            if same_incarnation {
                return;
            }
        }
        let id = entry.replica;
        let vacant = known.or_else(|| self.take_vacant_index());
        let fresh = ReplicaState {
            entry,
            listed: true,
            maturity: self.now + self.mean_time_to_maturity(),
            in_flight_by_class: vec![0; self.settings.classes.len()],
            ..ReplicaState::default()
        };
        let index = match vacant {
            Some(index) => self.reset_replica(index, fresh),
            None => self.replicas.push(fresh),
        };
        self.replica_index.insert(id, index);
    }

    /// Replaces a replica's state, except for its attempts in flight: after the replica's restart,
    /// this router still awaits their ends.
    fn reset_replica(&mut self, index: ReplicaIndex, fresh: ReplicaState) -> ReplicaIndex {
        let old = std::mem::replace(&mut self.replicas[index], fresh);
        let new = &mut self.replicas[index];
        new.awaited = old.awaited;
        new.awaited_tokens = old.awaited_tokens;
        new.in_flight_by_class = old.in_flight_by_class;
        new.in_flight = old.in_flight;
        index
    }

    /// The mean time until a replica in service is mature. A new replica starts with this time, so
    /// that it is neither preferred to the other replicas nor avoided.
    fn mean_time_to_maturity(&self) -> Span {
        let (mut total_micros, mut count) = (0, 0);
        for replica in self
            .replicas
            .iter()
            .filter(|replica| replica.is_in_service())
        {
            total_micros += (replica.maturity - self.now).as_micros();
            count += 1;
        }
        Span::from_micros(total_micros / count.max(1))
    }

    /// Takes an index that a new replica can reuse: that of a replica which has left the list and
    /// has no attempts of tracked requests. Without reuse, memory would grow with every replica
    /// that was ever listed.
    fn take_vacant_index(&mut self) -> Option<ReplicaIndex> {
        let has_attempts = |index: ReplicaIndex| {
            let mut attempts = self.requests.values().flat_map(|request| &request.attempts);
            attempts.any(|attempt| attempt.replica == index)
        };
        let is_vacant =
            |&index: &ReplicaIndex| !self.replicas[index].is_present() && !has_attempts(index);
        let vacant = self.replicas.indices().find(is_vacant);
        if let Some(index) = vacant {
            self.replica_index
                .remove(&self.replicas[index].entry.replica);
        }
        vacant
    }
}
