//! Sends queued requests to mature replicas, the most urgent first, and sets when those replicas
//! are mature again.

use super::balancer::Balancer;
use super::replica_table::ReplicaIndex;
use super::request_queue::QueueKey;
use super::slack_budget::maturity_delay;
use crate::interface::{Action, RequestId, Span, UnservedReason};

/// The most queued requests that are considered in one step. Value: a design choice that bounds the
/// work of a step.
const MAX_QUEUE_SCAN: usize = 32;
/// A migration is expensive where the prefill that it adds, of tokens that another replica has
/// cached, takes this fraction of the remaining time. Value: a design choice
/// (docs/design/placement.md).
const EXPENSIVE_MIGRATION_FRACTION: f64 = 1.0 / 8.0;

impl Balancer {
    /// Sends the most urgent requests that fit to mature replicas, then sets their next maturity.
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
        self.schedule_next_maturities();
    }

    /// Sets the next maturity of each replica that requests were sent to.
    fn schedule_next_maturities(&mut self) {
        for replica in std::mem::take(&mut self.dispatched_replicas) {
            let tokens = std::mem::take(&mut self.replicas[replica].dispatched_tokens);
            let model = self.prefill_model(replica);
            // a first token also waits for others' prefill, which costs this replica's answers
            // nothing more: beside its tokens a batch costs them a step
            let step = self.decode_step(replica);
            let prefill = model.seconds_per_token * tokens + model.base_seconds.min(step);
            let delay = maturity_delay(prefill, self.strictest_token_interval(replica), step);
            // where steps are too slow to catch up, the replica waits until its streams have ended
            let at = delay.map_or(self.now + self.settings.slow_start_duration, |seconds| {
                self.now + Span::from_secs_f64(seconds)
            });
            self.set_maturity(replica, at);
        }
    }

    /// Whether a request is still admitted, by its cost at the replica selected. One that would
    /// leave the replica which has its prompt cached, because that is late, adds a whole prefill
    /// ahead of many that are cached; its client's retry finds the prompt still there. A session
    /// that was rejected gains value, so it migrates after a few rejections.
    fn admits_migration(&mut self, id: RequestId, replica: ReplicaIndex) -> bool {
        let Some(request) = self.requests.get(&id) else {
            return false;
        };
        let arrival = request.arrival;
        let priority_weight = request.priority_weight;
        let admission_draw = request.admission_draw;
        let remaining = (request.due - self.now).as_secs_f64();
        let added_tokens = self.uncached_tokens(&arrival, Some(replica))
            - self.uncached_tokens(&arrival, self.cached_at(&arrival));
        let added_seconds = self.prefix_cache.session_hit_rate()
            * self.throughput.fleet_model(self.now).seconds_per_token
            * added_tokens;
        let expensive = added_seconds > EXPENSIVE_MIGRATION_FRACTION * remaining;
        let value = priority_weight / self.relative_cost(&arrival, Some(replica));
        !expensive
            || self
                .admission
                .for_model(arrival.model, &self.settings, self.now)
                .still_admits(value, admission_draw)
    }
}
