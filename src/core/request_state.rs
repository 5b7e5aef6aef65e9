//! The states of a request at the core, and the transitions between them. Each transition consumes
//! the state and returns the next one, together with the value that the request releases. An event
//! that a state does not allow returns the state unchanged in a typed error.
//!
//! | from | event | to | releases |
//! | --- | --- | --- | --- |
//! | accepted | enqueued | queued | |
//! | queued | attempt started | attempt in flight | |
//! | queued | answered by the core | answered | the answer sender |
//! | attempt in flight | first token of this attempt | streaming | the answer sender |
//! | attempt in flight | this attempt ended, or was cancelled | queued | the attempt |
//! | attempt in flight | answered by the core | answered, attempt in flight | the answer sender |
//! | streaming | this attempt ended | answered | the attempt |
//! | answered, attempt in flight | this attempt ended, or was cancelled | answered | the attempt |
//! | any except abandoned | client disconnected | abandoned | the attempt, if one is in flight |
//!
//! All other transitions are errors: a second attempt while one is in flight, the end of an attempt
//! that is not the current one, a second answer, the cancellation of an attempt whose answer is
//! streaming.
//!
//! An answer by the core (rejected or failed) does not end the attempt. The attempt ends when the
//! decision module cancels it, when it times out, or when its upstream reports its end. The core
//! removes a request that is abandoned, or that is answered and has no attempt in flight
//! ([`RequestState::is_finished`]).
//!
//! The states own the answer sender and the attempt, so neither outlives its state. This module
//! sends nothing and reads no clock.

mod transition;

use tokio::sync::oneshot;

use super::Answer;
use super::in_flight_attempt::InFlightAttempt;
pub(super) use transition::{
    InvalidTransition, RequestEvent, StateName, Transition, TransitionResult,
};

/// The channel for the one answer of a request.
pub(super) type AnswerSender = oneshot::Sender<Answer>;

/// The state of a request.
#[derive(Debug)]
pub(super) enum RequestState {
    /// The request has an id, and the decision module has not received it yet.
    Accepted {
        /// The channel for its answer.
        answer_sender: AnswerSender,
    },
    /// The request waits for the next decision.
    Queued {
        /// The channel for its answer.
        answer_sender: AnswerSender,
    },
    /// An attempt is in flight and has not begun to answer.
    AttemptInFlight {
        /// The channel for its answer.
        answer_sender: AnswerSender,
        /// The attempt.
        attempt: InFlightAttempt,
    },
    /// The attempt of the request has begun to answer.
    Streaming {
        /// The attempt.
        attempt: InFlightAttempt,
    },
    /// The request has its final answer.
    Answered {
        /// The attempt that is still in flight, if any.
        attempt: Option<InFlightAttempt>,
    },
    /// The client of the request has disconnected.
    Abandoned,
}

fn transition_to<T>(next: RequestState, released: T) -> TransitionResult<T> {
    Ok(Transition { next, released })
}

impl RequestState {
    /// Returns the state of a request that has just been accepted.
    pub fn accepted(answer_sender: AnswerSender) -> RequestState {
        RequestState::Accepted { answer_sender }
    }

    /// The state's name.
    pub fn name(&self) -> StateName {
        match self {
            RequestState::Accepted { .. } => StateName::Accepted,
            RequestState::Queued { .. } => StateName::Queued,
            RequestState::AttemptInFlight { .. } => StateName::AttemptInFlight,
            RequestState::Streaming { .. } => StateName::Streaming,
            RequestState::Answered { attempt: Some(_) } => StateName::AnsweredWithAttempt,
            RequestState::Answered { attempt: None } => StateName::Answered,
            RequestState::Abandoned => StateName::Abandoned,
        }
    }

    /// Whether the core no longer has to answer the request: it has an answer, or its client has
    /// disconnected.
    pub fn is_closed(&self) -> bool {
        matches!(
            self,
            RequestState::Streaming { .. }
                | RequestState::Answered { .. }
                | RequestState::Abandoned
        )
    }

    /// Whether the request needs no answer and has no attempt in flight, so that the core can
    /// remove it.
    pub fn is_finished(&self) -> bool {
        matches!(
            self,
            RequestState::Answered { attempt: None } | RequestState::Abandoned
        )
    }

    /// The attempt in flight, whether its answer is streaming or not.
    pub fn attempt(&self) -> Option<&InFlightAttempt> {
        match self {
            RequestState::AttemptInFlight { attempt, .. } | RequestState::Streaming { attempt } => {
                Some(attempt)
            }
            RequestState::Answered { attempt } => attempt.as_ref(),
            _ => None,
        }
    }

    fn invalid<T>(self, event: RequestEvent) -> TransitionResult<T> {
        Err(InvalidTransition { state: self, event })
    }

    fn has_attempt(&self, number: u32) -> bool {
        self.attempt()
            .is_some_and(|attempt| attempt.number == number)
    }

    /// The request is passed to the decision module.
    pub fn enqueue(self) -> TransitionResult<()> {
        match self {
            RequestState::Accepted { answer_sender } => {
                transition_to(RequestState::Queued { answer_sender }, ())
            }
            state => state.invalid(RequestEvent::Enqueued),
        }
    }

    /// An attempt was created.
    pub fn start_attempt(self, attempt: InFlightAttempt) -> TransitionResult<()> {
        match self {
            RequestState::Queued { answer_sender } => transition_to(
                RequestState::AttemptInFlight {
                    answer_sender,
                    attempt,
                },
                (),
            ),
            state => state.invalid(RequestEvent::AttemptStarted),
        }
    }

    /// The first token of an attempt has arrived.
    pub fn first_token(self, number: u32) -> TransitionResult<AnswerSender> {
        match self {
            RequestState::AttemptInFlight {
                answer_sender,
                attempt,
            } if attempt.number == number => {
                transition_to(RequestState::Streaming { attempt }, answer_sender)
            }
            state => state.invalid(RequestEvent::FirstToken(number)),
        }
    }

    /// An attempt has ended, whether its answer was streaming or not.
    pub fn end_attempt(self, number: u32) -> TransitionResult<InFlightAttempt> {
        match self {
            state if !state.has_attempt(number) => {
                state.invalid(RequestEvent::AttemptEnded(number))
            }
            RequestState::AttemptInFlight {
                answer_sender,
                attempt,
            } => transition_to(RequestState::Queued { answer_sender }, attempt),
            RequestState::Streaming { attempt }
            | RequestState::Answered {
                attempt: Some(attempt),
            } => transition_to(RequestState::Answered { attempt: None }, attempt),
            state => state.invalid(RequestEvent::AttemptEnded(number)),
        }
    }

    /// An attempt is cancelled or has timed out. An attempt that has begun to answer is not
    /// cancelled.
    pub fn cancel_attempt(self, number: u32) -> TransitionResult<InFlightAttempt> {
        match self {
            state @ RequestState::Streaming { .. } => {
                state.invalid(RequestEvent::AttemptCancelled(number))
            }
            state => state
                .end_attempt(number)
                .map_err(|error| InvalidTransition {
                    event: RequestEvent::AttemptCancelled(number),
                    ..error
                }),
        }
    }

    /// The core gives the final answer: rejected or failed.
    pub fn answer(self) -> TransitionResult<AnswerSender> {
        match self {
            RequestState::Queued { answer_sender } => {
                transition_to(RequestState::Answered { attempt: None }, answer_sender)
            }
            RequestState::AttemptInFlight {
                answer_sender,
                attempt,
            } => transition_to(
                RequestState::Answered {
                    attempt: Some(attempt),
                },
                answer_sender,
            ),
            state => state.invalid(RequestEvent::Answered),
        }
    }

    /// The client has disconnected.
    pub fn abandon(self) -> TransitionResult<Option<InFlightAttempt>> {
        let attempt = match self {
            RequestState::Accepted { .. } | RequestState::Queued { .. } => None,
            RequestState::AttemptInFlight { attempt, .. } | RequestState::Streaming { attempt } => {
                Some(attempt)
            }
            RequestState::Answered { attempt } => attempt,
            RequestState::Abandoned => return self.invalid(RequestEvent::ClientDisconnected),
        };
        transition_to(RequestState::Abandoned, attempt)
    }
}

#[cfg(test)]
mod tests;
