//! Requests that enter the queue, and those that leave it unsent because their first token can no
//! longer come in time. Requests that are sent to a replica leave it in `dispatch`.

use super::balancer::Balancer;
use super::replica_table::ReplicaIndex;
use super::request_queue::QueueKey;
use crate::interface::{Action, RequestId, Span, UnservedReason};

impl Balancer {
    /// Puts a request in the queue, by the time it is due.
    pub(super) fn enqueue(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let key = QueueKey {
            due: request.due,
            request: id,
        };
        self.queue.insert(key, request.arrival.class);
    }

    /// Removes a request from the queue, if it is there.
    pub(super) fn dequeue(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let key = QueueKey {
            due: request.due,
            request: id,
        };
        self.queue.remove(key, request.arrival.class);
    }

    /// Rejects the requests at the queue's head that can no longer have their first token in time.
    /// Those with a late weight wait on, behind the ones that can be in time.
    pub(super) fn reject_late(&mut self, actions: &mut Vec<Action>) {
        while let Some(head) = self.queue.first()
            && self.misses_deadline(head)
        {
            let id = head.request;
            self.dequeue(id);
            match self.requests.get_mut(&id) {
                Some(request) if request.due < request.useful_until => {
                    request.due = request.useful_until;
                    self.enqueue(id);
                }
                request => {
                    let model = request.map_or(0, |request| request.arrival.model);
                    self.record_admission_outcome(model, false);
                    self.complete(id, UnservedReason::NoTimeLeft, actions);
                }
            }
        }
    }

    /// Whether a queued request can no longer have its first token in time: neither as first tokens
    /// come at present where its prompt isn't cached, nor where it is likely to be. Without the
    /// latter a session's long prompt would be rejected though its replica has little of it left to
    /// prefill.
    fn misses_deadline(&self, key: QueueKey) -> bool {
        let Some(request) = self.requests.get(&key.request) else {
            return true;
        };
        let arrival = &request.arrival;
        let is_late = |seconds: f64| self.now + Span::from_secs_f64(seconds) > key.due;
        if !is_late(self.uncached_first_token_seconds(arrival)) {
            return false;
        }
        let is_late_at = |replica: ReplicaIndex| {
            let uncached_tokens = self.uncached_tokens(arrival, Some(replica));
            is_late(self.prefill_model(replica).seconds(uncached_tokens))
        };
        let cached_at = self.likely_cached_at(arrival).into_iter().flatten();
        let mut in_service = cached_at.filter(|&replica| self.replicas[replica].is_in_service());
        in_service.all(is_late_at)
    }
}
