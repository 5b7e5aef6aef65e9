//! Completion of requests: the final answers that the decision module gives, and the removal of a
//! request's state.

use super::balancer::Balancer;
use super::in_flight::{AttemptPhase, InFlightRequest};
use crate::interface::{
    Action, Arrival, DeduplicationScope, Idempotency, RequestId, Span, UnservedReason,
};

impl Balancer {
    /// Completes a request that has no final answer yet: rejects it, or fails it if a repeat by the
    /// client may be harmful. The decision module gives all its final answers here.
    pub(super) fn complete(
        &mut self,
        id: RequestId,
        reason: UnservedReason,
        actions: &mut Vec<Action>,
    ) {
        self.dequeue(id);
        let available_replicas = self.available_replicas(id);
        let exclusions = self.count_exclusions(id);
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        if std::mem::replace(&mut request.awaits_answer, false) {
            self.last_exclusions = exclusions;
            let arrival = request.arrival;
            let Arrival { model, class, .. } = arrival;
            let may_have_run = request.first_that_may_have_run().is_some();
            self.record_session_rejection(&arrival);
            let retry_after = self.retry_after(model);
            let answer = if self.client_may_repeat(class, may_have_run) {
                Action::Reject {
                    request: id,
                    retry_after,
                    reason,
                    available_replicas,
                }
            } else {
                Action::Fail {
                    request: id,
                    reason,
                    available_replicas,
                }
            };
            actions.push(answer);
            if self.settings.cancellation {
                self.cancel_unstarted(id, actions);
            }
        }
        self.remove_if_finished(id);
    }

    /// Returns whether the client may repeat a request of this class without harm.
    fn client_may_repeat(&self, class: u32, may_have_run: bool) -> bool {
        let class = &self.settings.classes[class as usize];
        match class.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::Keyed => {
                class.deduplication_scope == DeduplicationScope::All || !may_have_run
            }
            Idempotency::NonIdempotent => !may_have_run,
        }
    }

    /// Returns the `Retry-After` time for a rejected client: the time until all requests are
    /// admitted again, up to the configured maximum.
    fn retry_after(&mut self, model: u32) -> Option<Span> {
        let admission = self.admission.for_model(model, &self.settings, self.now);
        if !self.settings.retry_after {
            return None;
        }
        let recovery = admission.time_to_full_admission(self.now);
        let retry_after = recovery.min(self.settings.max_retry_after);
        (!retry_after.is_zero()).then_some(retry_after)
    }

    /// Cancels those attempts of a request that still await their first tokens.
    fn cancel_unstarted(&self, id: RequestId, actions: &mut Vec<Action>) {
        let attempts = self.requests.get(&id).map(|request| &request.attempts);
        for (number, attempt) in attempts.into_iter().flatten().enumerate() {
            if attempt.phase == AttemptPhase::AwaitingFirstToken {
                actions.push(Action::CancelAttempt {
                    request: id,
                    attempt: number as u32,
                });
            }
        }
    }

    /// Removes the state of a request that is complete and has no attempt in flight.
    pub(super) fn remove_if_finished(&mut self, id: RequestId) {
        let finished =
            |request: &InFlightRequest| !request.awaits_answer && !request.has_attempt_in_flight();
        if self.requests.get(&id).is_some_and(finished) {
            self.requests.remove(&id);
        }
    }

    /// Handles the disconnection of a client: its request needs no answer any more.
    pub(super) fn on_client_disconnected(&mut self, id: RequestId) {
        self.dequeue(id);
        if let Some(request) = self.requests.get_mut(&id) {
            request.awaits_answer = false;
        }
        self.remove_if_finished(id);
    }
}
