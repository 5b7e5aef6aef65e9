//! Adds requests to the queue, and rejects queued requests whose first token can no longer arrive
//! in time. Requests that are sent to a replica leave the queue in `dispatch`.

use super::availability::MAX_EXAMINED_REPLICAS;
use super::balancer::Balancer;
use super::cost::CostLimits;
use super::replica_table::ReplicaIndex;
use super::request_queue::QueueKey;
use crate::interface::{Action, MissCause, RequestId, Span, Timestamp, UnservedReason};

impl Balancer {
    /// Inserts a request into the queue, ordered by the time when it is due.
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

    /// Removes a request from the queue, if it is queued.
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

    /// Rejects requests at the head of the queue whose first token can no longer arrive in time,
    /// unless a replica is idle. A request whose class has a late weight is queued again with a
    /// later due time instead, behind the requests that can still be in time. So is any request
    /// while the replicas have unused time, as load is not what delays it, and while replicas have
    /// free slots for it.
    pub(super) fn reject_late(&mut self, actions: &mut Vec<Action>) {
        while let Some(head) = self.queue.first()
            && self.will_miss_due_time(head)
        {
            let id = head.request;
            if self.send_to_idle_replica(id, actions) {
                continue;
            }
            self.dequeue(id);
            let queued_until = self.queued_until(id);
            match self.requests.get_mut(&id) {
                Some(request) if request.due < queued_until => {
                    request.due = queued_until;
                    self.enqueue(id);
                }
                request => {
                    let model = request.map_or(0, |request| request.arrival.model);
                    self.record_admission_miss(model, MissCause::NoTimeLeft, 1.0);
                    self.complete(id, UnservedReason::NoTimeLeft, actions);
                }
            }
        }
    }

    /// Until when a request stays queued.
    fn queued_until(&self, id: RequestId) -> Timestamp {
        let Some(request) = self.requests.get(&id) else {
            return self.now;
        };
        if self.has_unused_capacity() || request.admission_draw <= self.spare_capacity_share(id) {
            request.arrival.expires_at
        } else {
            request.queued_until
        }
    }

    /// Whether the first token of a queued request can no longer arrive in time: neither at the
    /// fleet's present speed for an uncached prompt, nor at any replica in service that likely has
    /// the prompt cached, nor at any mature replica by its own measurements. Without the second
    /// check, a session's long prompt would be rejected although its replica has little of the
    /// prompt left to prefill.
    fn will_miss_due_time(&self, key: QueueKey) -> bool {
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
        if !in_service.all(is_late_at) {
            return false;
        }
        let limits = CostLimits {
            seconds: (key.due - self.now).as_secs_f64(),
            excludes_overdue: true,
        };
        let mut mature = self.maturity.mature().iter().take(MAX_EXAMINED_REPLICAS);
        !mature.any(|&replica| {
            self.is_eligible(replica, arrival)
                && self.may_send(key.request, replica)
                && self.cost(arrival, replica, limits).is_some()
        })
    }
}
