//! Progress: estimates alone neither keep a request in the queue nor have it rejected while replicas
//! are idle. An estimate that excludes every replica is corrected only by a send, so a request is
//! sent to an idle replica whatever was reported or measured before.

use super::balancer::Balancer;
use super::replica_table::ReplicaIndex;
use super::request_queue::QueueKey;
use crate::interface::{Action, RequestId, Span, Timestamp};

/// Time that a request waits before estimates that exclude every replica are disregarded, as a
/// fraction of the shortest first-token objective. The rest is left for the answer.
const PROGRESS_WAIT_FRACTION: f64 = 0.25;
/// Maximum number of queued requests, and of replicas for each, that are examined in one step.
const MAX_EXAMINED: usize = 32;

impl Balancer {
    /// Sends queued requests that only estimates keep in the queue to idle replicas.
    pub(super) fn ensure_progress(&mut self, actions: &mut Vec<Action>) {
        let wait = self.progress_wait();
        let mut from = QueueKey::default();
        for _ in 0..MAX_EXAMINED {
            let Some(next) = self.queue.first_from(from) else {
                break;
            };
            from = next.successor();
            let Some(request) = self.requests.get(&next.request) else {
                continue;
            };
            let has_waited = self.now - request.waiting_since >= wait;
            let is_excluded = self.attempts_in_flight == 0 || !request.has_candidate;
            if has_waited && is_excluded {
                self.send_to_idle_replica(next.request, actions);
            }
        }
    }

    /// When the most urgent queued request has waited long enough, if that is in the future and
    /// nothing in flight causes a step before.
    pub(super) fn next_progress(&self) -> Option<Timestamp> {
        let head = self
            .queue
            .first()
            .filter(|_| self.attempts_in_flight == 0)?;
        let request = self.requests.get(&head.request)?;
        let at = request.waiting_since + self.progress_wait();
        (at > self.now).then_some(at)
    }

    fn progress_wait(&self) -> Span {
        Span::from_secs_f64(PROGRESS_WAIT_FRACTION * self.admission.shortest_objective())
    }

    /// Sends a request to an idle replica, if there is one. Returns whether it was sent.
    pub(super) fn send_to_idle_replica(
        &mut self,
        id: RequestId,
        actions: &mut Vec<Action>,
    ) -> bool {
        let Some(replica) = self.idle_replica(id) else {
            return false;
        };
        self.send_attempt(id, replica, actions);
        true
    }

    /// Whether this router has reason to disregard estimates: it has nothing in flight that could
    /// correct them, or the replicas have unused time.
    pub(super) fn may_disregard_estimates(&self) -> bool {
        self.attempts_in_flight == 0 || self.has_unused_capacity()
    }

    /// Returns the idle replica with the earliest predicted first token, if estimates may be
    /// disregarded. A replica in a backoff counts as idle only while nothing is in flight, after
    /// the others.
    fn idle_replica(&self, id: RequestId) -> Option<ReplicaIndex> {
        if !self.may_disregard_estimates() || self.is_prompt_too_long(id) {
            return None;
        }
        let arrival = &self.requests.get(&id)?.arrival;
        let nothing_in_flight = self.attempts_in_flight == 0;
        let idle = self.replicas.indices().filter(|&index| {
            self.replicas[index].awaited.is_empty()
                && (nothing_in_flight || !self.is_in_backoff(index))
                && self.may_send(id, index)
        });
        let ranked = idle.take(MAX_EXAMINED).filter_map(|index| {
            let seconds = self.predicted_first_token_seconds(arrival, index)?;
            Some((index, self.is_in_backoff(index), seconds))
        });
        ranked
            .min_by(|a, b| a.1.cmp(&b.1).then(a.2.total_cmp(&b.2)))
            .map(|(index, ..)| index)
    }

    /// Whether a prompt is so much longer than a typical one that its prefill alone takes longer
    /// than its client waits. Typical requests correct this estimate.
    fn is_prompt_too_long(&self, id: RequestId) -> bool {
        let Some(request) = self.requests.get(&id) else {
            return true;
        };
        let arrival = &request.arrival;
        let tokens = self.uncached_tokens(arrival, self.cached_at(arrival));
        let added_tokens = (tokens - self.typical_tokens).max(0.0);
        let fleet_model = self.fleet_prefill_models.fleet_model(self.now);
        let client_wait = arrival.expires_at - self.now;
        fleet_model.seconds_per_token * added_tokens > client_wait.as_secs_f64()
    }
}
