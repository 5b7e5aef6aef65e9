//! Decides whether a request may be sent to a replica, as its first attempt or as a retry, and
//! whether it is retried when an attempt has ended.

use super::balancer::Balancer;
use super::in_flight::Attempt;
use super::replica_table::ReplicaIndex;
use crate::interface::{
    Action, Class, DeduplicationScope, Idempotency, MissCause, RequestId, UnservedReason,
};

impl Balancer {
    /// Returns whether a request may be sent to a replica now. The conditions are: the client waits
    /// for an answer, attempts are left, no attempt is in flight unless hedged requests are
    /// allowed, a repeat is harmless, and the replica is in service, serves the model, and is
    /// either warm or the replica of the request's slow-start slot.
    pub(super) fn may_send(&self, id: RequestId, index: ReplicaIndex) -> bool {
        let Some(request) = self.requests.get(&id) else {
            return false;
        };
        let class = &self.settings.classes[request.arrival.class as usize];
        let replica = &self.replicas[index];
        let attempts_left = request.attempt_count() < self.settings.max_attempts as usize;
        let may_overlap = self.settings.hedged_requests || !request.has_attempt_in_flight();
        let harmless = request
            .first_that_may_have_run()
            .is_none_or(|first| self.is_harmless_repeat(class, first, index));
        request.awaits_answer
            && attempts_left
            && may_overlap
            && harmless
            && replica.is_in_service()
            && replica.serves(request.arrival.model)
            && (!self.is_warming_up(index) || request.slow_start_slot == Some(index))
    }

    /// Returns whether repeating a request at a replica is harmless although the attempt `first`
    /// may have run. It is harmless if the request is idempotent, or if the replica shares
    /// idempotency keys with the replica of `first` and so drops the repeat within the
    /// deduplication window.
    fn is_harmless_repeat(&self, class: &Class, first: &Attempt, index: ReplicaIndex) -> bool {
        match class.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NonIdempotent => false,
            Idempotency::Keyed => {
                let first_entry = &self.replicas[first.replica].entry;
                let entry = &self.replicas[index].entry;
                let shares_keys = match class.deduplication_scope {
                    DeduplicationScope::All => true,
                    DeduplicationScope::Zone => first_entry.zone == entry.zone,
                    DeduplicationScope::Cell => {
                        first_entry.zone == entry.zone && first_entry.cell == entry.cell
                    }
                };
                shares_keys && self.now - first.sent_at < class.deduplication_window
            }
        }
    }

    /// Queues a request again or completes it after an attempt has ended, if no other attempt of
    /// the request is in flight. `failure` is `Some` if the attempt failed; it is the degree to
    /// which the failure indicates overload, from 0 to 1.
    pub(super) fn retry_or_complete(
        &mut self,
        id: RequestId,
        failure: Option<f64>,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        if !request.awaits_answer || request.has_attempt_in_flight() {
            return;
        }
        let arrival = request.arrival;
        let attempts_left = request.attempt_count() < self.settings.max_attempts as usize;
        let idempotency = self.settings.classes[arrival.class as usize].idempotency;
        let repeatable = idempotency != Idempotency::NonIdempotent
            || request.first_that_may_have_run().is_none();
        if failure.is_some() && attempts_left && self.now < request.due && repeatable {
            let slot = self.draw_slow_start_slot();
            if let Some(request) = self.requests.get_mut(&id) {
                request.slow_start_slot = slot;
                request.candidate_rounds = 0;
                request.waiting_since = self.now;
            }
            self.enqueue(id);
            if !self.has_eligible_replica(id) {
                self.complete(id, UnservedReason::NoReplica, actions);
            }
            return;
        }
        // Only a request that no attempt could serve counts as a miss: a replica may reject
        // requests while other replicas have capacity, which is no reason to shed load.
        if let Some(overload_evidence) = failure {
            self.record_admission_miss(arrival.model, MissCause::AttemptsFailed, overload_evidence);
        }
        self.complete(id, UnservedReason::AttemptsFailed, actions);
    }
}
