//! Executes the actions of the decision module.

use std::time::{Duration, Instant};

use tracing::trace;

use super::Core;
use super::timers::Timer;
use crate::core::attempt_history::AttemptHistory;
use crate::core::request_state::RequestState;
use crate::core::{Answer, AttemptId, DiscoveryCommand, UpstreamCommand};
use crate::interface::{
    Action, Event, HealthCheckEnded, Outcome, ReplicaId, RequestId, Span, UnservedReason,
};
use crate::ops::unserved_requests::UnservedRequest;

impl Core {
    /// Executes an action that the decision step at time `at` has returned.
    pub(super) fn execute(&mut self, action: Action, at: Instant) {
        match action {
            Action::StartAttempt {
                request,
                replica,
                timeout,
            } => self.start_attempt(request, replica, timeout, at),
            Action::CancelAttempt { request, attempt } => {
                self.cancel_attempt(AttemptId { request, attempt }, Outcome::Cancelled, at);
            }
            Action::Reject {
                request,
                retry_after,
                reason,
                available_replicas,
            } => {
                let retry_after = retry_after.map(Duration::from);
                self.answer(request, reason, available_replicas, |history| {
                    Answer::Rejected {
                        retry_after,
                        reason,
                        forwarded: history.forwarded(),
                        attempts: history.attempts(),
                    }
                });
            }
            Action::Fail {
                request,
                reason,
                available_replicas,
            } => {
                self.answer(request, reason, available_replicas, |history| {
                    Answer::Failed {
                        reason,
                        forwarded: history.forwarded(),
                        attempts: history.attempts(),
                    }
                });
            }
            Action::CheckHealth { replica } => self.check_health(replica),
            Action::WatchEndpoints => {
                let _ = self.discovery.try_send(DiscoveryCommand::Watch);
            }
            Action::SetTimer { at, timer_id } => {
                self.timers.set(at, Timer::DecisionModule { timer_id });
            }
        }
    }

    /// Sends the final answer of a request, unless the request already has one.
    fn answer(
        &mut self,
        request: RequestId,
        reason: UnservedReason,
        available_servers: u32,
        answer: impl FnOnce(&AttemptHistory) -> Answer,
    ) {
        let Some(in_flight) = self.requests.get_mut(&request) else {
            return;
        };
        if let Some(answer_sender) = in_flight.transition(RequestState::answer) {
            if in_flight.interactive {
                self.load.record_rejection();
            }
            let unserved = UnservedRequest {
                class: in_flight.class,
                reason,
                available_servers,
            };
            self.metrics.record_unserved(unserved);
            self.unserved_requests.record(unserved);
            let answer = answer(&in_flight.history);
            let verdict = match answer {
                Answer::Rejected { .. } => "rejected",
                _ => "failed",
            };
            trace!(
                "request {}: {verdict} ({}) after {} attempts",
                request.0,
                reason.label(),
                in_flight.history.attempts()
            );
            let _ = answer_sender.send(answer);
        }
        self.remove_if_finished(request);
    }

    /// Starts a health check of a replica. A check that cannot be started is reported as failed.
    fn check_health(&mut self, replica: ReplicaId) {
        let sent = self.command_upstream(replica, UpstreamCommand::CheckHealth);
        if sent.is_err() {
            self.events.push(Event::HealthCheckEnded(HealthCheckEnded {
                replica,
                outcome: Outcome::ConnectFailed,
                elapsed: Span::ZERO,
                load_report: None,
            }));
        }
    }
}
