//! The timer queue: timers of the decision module, attempt timeouts and request expiries.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Instant;

use tracing::warn;

use super::Core;
use crate::core::request_state::RequestState;
use crate::core::{Answer, AttemptId};
use crate::interface::{Event, Outcome, RequestId, Timestamp, UnservedReason};
use crate::ops::unserved_requests::UnservedRequest;

/// The purpose of a timer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// A timer that the decision module has set.
    DecisionModule {
        /// The id that the decision module gave the timer.
        timer_id: u64,
    },
    /// The timeout of an attempt that has not begun to answer.
    AttemptTimeout {
        /// The request of the attempt.
        request: RequestId,
        /// The number of the attempt.
        attempt: u32,
    },
    /// The time by which a request must have its answer.
    RequestExpiry {
        /// The request.
        request: RequestId,
    },
}

/// The timers that are set, earliest first. A timer is not removed when its attempt or request
/// ends; it then has no effect when it fires.
#[derive(Debug, Default)]
pub(super) struct TimerQueue(BinaryHeap<Reverse<(Timestamp, Timer)>>);

impl TimerQueue {
    /// Sets a timer.
    pub fn set(&mut self, at: Timestamp, timer: Timer) {
        self.0.push(Reverse((at, timer)));
    }

    /// Returns when the next timer fires.
    pub fn next_at(&self) -> Option<Timestamp> {
        self.0.peek().map(|Reverse((at, _))| *at)
    }

    /// Removes and returns the next timer, if its time has come.
    pub fn pop_expired(&mut self, now: Timestamp) -> Option<Timer> {
        self.next_at().filter(|at| *at <= now)?;
        self.0.pop().map(|Reverse((_, timer))| timer)
    }
}

impl Core {
    pub(super) fn fire_timers(&mut self, now: Timestamp) {
        while let Some(timer) = self.timers.pop_expired(now) {
            match timer {
                Timer::DecisionModule { timer_id } => {
                    self.events.push(Event::TimerFired { timer_id });
                }
                Timer::AttemptTimeout { request, attempt } => {
                    let id = AttemptId { request, attempt };
                    self.cancel_attempt(id, Outcome::Timeout, Instant::now());
                }
                Timer::RequestExpiry { request } => self.expire(request),
            }
        }
    }

    /// Fails a request that the decision module has not answered in time. The decision module was
    /// given an earlier expiry, so this is rare, but every request must get an answer.
    fn expire(&mut self, request: RequestId) {
        let Some(in_flight) = self.requests.get_mut(&request) else {
            return;
        };
        let Some(answer_sender) = in_flight.transition(RequestState::answer) else {
            return;
        };
        warn!(
            "request {}: the decision module gave no answer before the expiry; failing the request",
            request.0
        );
        let attempt_started = in_flight
            .state
            .attempt()
            .is_some_and(|attempt| !attempt.gate.cancel_unstarted());
        self.metrics.record_unserved(UnservedRequest {
            class: in_flight.class,
            reason: UnservedReason::Expired,
            available_servers: 0,
        });
        let _ = answer_sender.send(Answer::Failed {
            reason: UnservedReason::Expired,
            forwarded: in_flight.history.forwarded() || attempt_started,
            attempts: in_flight.history.attempts(),
        });
        self.client_disconnected(request);
    }
}

#[cfg(test)]
mod tests;
