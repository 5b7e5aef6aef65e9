//! Sends queued requests to mature replicas, the most urgent first, and computes when those
//! replicas will be mature again.

use super::balancer::Balancer;
use super::replica_table::ReplicaIndex;
use super::request_queue::QueueKey;
use super::slack_budget::maturity_delay;
use crate::interface::{Action, RequestId, Span, UnservedReason};

/// Maximum number of queued requests considered in one step. It bounds the work of a step.
const MAX_QUEUE_SCAN: usize = 32;
/// A migration is expensive if the prefill of the tokens that another replica has cached takes more
/// than this fraction of the request's remaining time (docs/design/placement.md).
const EXPENSIVE_MIGRATION_FRACTION: f64 = 1.0 / 8.0;

impl Balancer {
    /// Sends the most urgent requests to mature replicas with enough slack budget, then sets the
    /// next maturity of those replicas.
    pub(super) fn dispatch_queue(&mut self, actions: &mut Vec<Action>) {
        self.maturity.promote(&mut self.replicas, self.now);
        self.reject_late(actions);
        let mut from = QueueKey::default();
        for _ in 0..MAX_QUEUE_SCAN {
            let Some(next) = self.queue.first_from(from) else {
                break;
            };
            if !self.maturity.any_mature() {
                break;
            }
            from = next.successor();
            let id = next.request;
            match self.select_replica(id, actions) {
                Some(replica) if self.admits_migration(id, replica) => {
                    self.send_attempt(id, replica, actions);
                }
                Some(_) => self.complete(id, UnservedReason::ExpensiveMigration, actions),
                None => {}
            }
        }
        self.ensure_progress(actions);
        self.schedule_next_maturities();
    }

    /// Sets the next maturity of each replica that requests were sent to.
    fn schedule_next_maturities(&mut self) {
        for replica in std::mem::take(&mut self.dispatched_replicas) {
            let tokens = std::mem::take(&mut self.replicas[replica].dispatched_tokens);
            let model = self.prefill_model(replica);
            self.occupancy.record(
                model.seconds_per_token * tokens,
                self.now,
                self.decay_seconds,
            );
            // The base time of a first token also contains the wait for the prefill of other
            // requests, which does not delay this replica's streams any further. Apart from the
            // prefill of its tokens, a batch delays the streams by one step.
            let step = self.decode_step(replica);
            let prefill = model.seconds_per_token * tokens + model.base_seconds.min(step);
            let delay = maturity_delay(prefill, self.strictest_token_interval(replica), step);
            // If the decode steps are too slow for the streams to catch up, the replica waits
            // for the slow-start duration, after which its streams are assumed to have ended.
            let at = delay.map_or(self.now + self.settings.slow_start_duration, |seconds| {
                self.now + Span::from_secs_f64(seconds)
            });
            self.set_maturity(replica, at);
        }
    }

    /// Returns whether a request is still admitted, given its cost at the selected replica. A
    /// request migrates if the replica that has its prompt cached is late. The migration adds a
    /// complete prefill ahead of many requests whose prompts are cached, whereas the session's next
    /// request may find the first replica in time again. A session always leaves a replica that
    /// fails, and a migration is admitted where replicas have free slots. Each rejection raises the
    /// value of the session's next request, so the session migrates after a few rejections.
    fn admits_migration(&mut self, id: RequestId, replica: ReplicaIndex) -> bool {
        let Some(request) = self.requests.get(&id) else {
            return false;
        };
        let arrival = request.arrival;
        let priority_weight = request.priority_weight;
        let admission_draw = request.admission_draw;
        let remaining = (request.due - self.now).as_secs_f64();
        let cached_at = self.cached_at(&arrival);
        if cached_at.is_some_and(|cached_at| self.replicas[cached_at].consecutive_failures > 0) {
            return true;
        }
        let added_tokens = self.uncached_tokens(&arrival, Some(replica))
            - self.uncached_tokens(&arrival, cached_at);
        let added_seconds = self.prefix_cache.session_hit_rate()
            * self
                .fleet_prefill_models
                .fleet_model(self.now)
                .seconds_per_token
            * added_tokens;
        let expensive = added_seconds > EXPENSIVE_MIGRATION_FRACTION * remaining;
        let value = priority_weight / self.relative_cost(&arrival, Some(replica));
        !expensive
            || self
                .admission
                .for_model(arrival.model, &self.settings, self.now)
                .still_admits(value, admission_draw)
            || self.attempts_in_flight == 0
            || admission_draw <= self.spare_capacity_share(id)
    }
}
