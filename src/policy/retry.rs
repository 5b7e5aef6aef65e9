//! Whether a request may be sent to a replica, for the first time or again, and whether it is
//! retried once an attempt has ended.

use super::balancer::Balancer;
use super::in_flight::Attempt;
use super::replica_table::ReplicaIndex;
use crate::interface::{Action, Class, DeduplicationScope, Idempotency, RequestId, UnservedReason};

impl Balancer {
    /// Whether the rules allow a send of this request to this replica now: attempts are left, none
    /// is in flight unless hedged requests are allowed, the repeat is harmless, and the replica is
    /// in service, has the model, and is warm or takes the request's slow-start slot.
    pub(super) fn may_send(&self, id: RequestId, index: ReplicaIndex) -> bool {
        let Some(request) = self.requests.get(&id) else {
            return false;
        };
        let class = &self.settings.classes[request.arrival.class as usize];
        let replica = &self.replicas[index];
        let attempts_left = request.attempt_count() < self.settings.max_attempts as usize;
        let alone = self.settings.hedged_requests || !request.has_attempt_in_flight();
        let harmless = request
            .first_that_may_have_run()
            .is_none_or(|first| self.is_harmless_repeat(class, first, index));
        request.awaits_answer
            && attempts_left
            && alone
            && harmless
            && replica.is_in_service()
            && replica.serves(request.arrival.model)
            && (!self.is_warming_up(index) || request.slow_start_slot == Some(index))
    }

    /// Whether a repeat at a replica does no harm, though `first` may have run: it is idempotent by
    /// itself, or the replicas that share its idempotency key drop it, within their window.
    fn is_harmless_repeat(&self, class: &Class, first: &Attempt, index: ReplicaIndex) -> bool {
        match class.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NonIdempotent => false,
            Idempotency::Keyed => {
                let first_at = &self.replicas[first.replica].entry;
                let here = &self.replicas[index].entry;
                let shares_keys = match class.deduplication_scope {
                    DeduplicationScope::All => true,
                    DeduplicationScope::Zone => first_at.zone == here.zone,
                    DeduplicationScope::Cell => {
                        first_at.zone == here.zone && first_at.cell == here.cell
                    }
                };
                shares_keys && self.now - first.sent_at < class.deduplication_window
            }
        }
    }

    /// An attempt has ended: a request with no other in flight is queued again, or completed.
    /// `failure` is there where it failed: how far that tells of overload.
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
            }
            self.enqueue(id);
            if !self.has_eligible_replica(id) {
                self.complete(id, UnservedReason::NoReplica, actions);
            }
            return;
        }
        // only a request that is not served at all counts as missed: a replica may reject some
        // while others have capacity, which is no reason to shed load
        if let Some(overload_evidence) = failure {
            self.record_admission_miss(arrival.model, overload_evidence);
        }
        self.complete(id, UnservedReason::AttemptsFailed, actions);
    }
}
