//! Why replicas were not chosen for a request, and for how long requests have been queued while
//! nothing is in flight. Both are only reported.

use super::availability::MAX_EXAMINED_REPLICAS;
use super::balancer::Balancer;
use super::replica_table::ReplicaIndex;
use crate::interface::{ExclusionCounts, ReplicaExclusion, RequestId, Span};

impl Balancer {
    /// Counts the examined replicas by the reason why they were not chosen for a request.
    pub(super) fn count_exclusions(&self, id: RequestId) -> ExclusionCounts {
        let mut counts = ExclusionCounts::default();
        for index in self.replicas.indices().take(MAX_EXAMINED_REPLICAS) {
            counts.record(self.exclusion(id, index));
        }
        counts
    }

    fn exclusion(&self, id: RequestId, index: ReplicaIndex) -> ReplicaExclusion {
        let Some(request) = self.requests.get(&id) else {
            return ReplicaExclusion::None;
        };
        let replica = &self.replicas[index];
        let remaining = (request.due - self.now).as_secs_f64();
        let predicted = self.predicted_first_token_seconds(&request.arrival, index);
        if !self.is_eligible(index, &request.arrival) {
            ReplicaExclusion::NotInService
        } else if self.is_warming_up(index) && request.slow_start_slot != Some(index) {
            ReplicaExclusion::WarmingUp
        } else if self.is_in_backoff(index) {
            ReplicaExclusion::Backoff
        } else if replica.has_overdue_first_token(self.now) {
            ReplicaExclusion::Overdue
        } else if !self.is_mature(index) {
            ReplicaExclusion::Prefilling
        } else if !predicted.is_some_and(|seconds| seconds <= remaining) {
            ReplicaExclusion::PredictedLate
        } else if replica.load.is_awaited(self.now) {
            ReplicaExclusion::ReportAwaited
        } else {
            ReplicaExclusion::None
        }
    }

    /// The least predicted first-token time of a typical uncached prompt at a replica in service,
    /// behind the prompts that this router sent there.
    pub(super) fn least_predicted_first_token(&self) -> Option<Span> {
        let examined = self.replicas.indices().take(MAX_EXAMINED_REPLICAS);
        let in_service = examined.filter(|&index| self.replicas[index].is_in_service());
        let predicted = in_service.map(|index| {
            let tokens = self.typical_tokens + self.replicas[index].awaited_tokens;
            self.prefill_model(index).seconds(tokens)
        });
        predicted.min_by(f64::total_cmp).map(Span::from_secs_f64)
    }

    /// Records whether requests are queued although a warm replica is in service and nothing is in
    /// flight.
    pub(super) fn update_stall(&mut self) {
        let mut examined = self.replicas.indices().take(MAX_EXAMINED_REPLICAS);
        let is_stalled = self.attempts_in_flight == 0
            && self.queue.first().is_some()
            && examined
                .any(|index| self.replicas[index].is_in_service() && !self.is_warming_up(index));
        let since = self.stalled_since.unwrap_or(self.now);
        self.longest_stall = self.longest_stall.max(self.now - since);
        self.stalled_since = is_stalled.then_some(since);
    }
}
