//! The life of a request at the core, as a type of states. Each transition consumes the state and
//! returns the next one, together with what the request releases by it; an event that a state does
//! not allow returns the state unchanged in a typed error.
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
//! | any but abandoned | client disconnected | abandoned | the attempt, if one is in flight |
//!
//! Everything else is not allowed: a second attempt beside one in flight, the end of an attempt
//! that is not the current one, a second answer, the cancellation of an attempt that streams.
//!
//! An answer by the core (rejected or failed) does not end the attempt: the decision module cancels
//! it, it times out, or it ends. The core forgets a request that is answered without an attempt or
//! abandoned ([`RequestState::is_finished`]).
//!
//! The states own the answer sender and the attempt, so neither outlives its state. Nothing is sent
//! here, and no clock is read.

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
    /// It has an id; the decision module does not know of it yet.
    Accepted {
        /// The channel for its answer.
        answer_sender: AnswerSender,
    },
    /// It waits for the next decision.
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
    /// Its attempt has begun to answer.
    Streaming {
        /// The attempt.
        attempt: InFlightAttempt,
    },
    /// It has its final answer.
    Answered {
        /// An attempt that is still in flight.
        attempt: Option<InFlightAttempt>,
    },
    /// Its client has disconnected.
    Abandoned,
}

fn proceed<T>(next: RequestState, released: T) -> TransitionResult<T> {
    Ok(Transition { next, released })
}

impl RequestState {
    /// A request that has just been accepted.
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

    /// Whether the request needs no answer from the core any more: it has one, or its client has
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
    /// forget it.
    pub fn is_finished(&self) -> bool {
        matches!(
            self,
            RequestState::Answered { attempt: None } | RequestState::Abandoned
        )
    }

    /// The attempt in flight, streaming or not.
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

    /// The request goes to the decision module.
    pub fn enqueue(self) -> TransitionResult<()> {
        match self {
            RequestState::Accepted { answer_sender } => {
                proceed(RequestState::Queued { answer_sender }, ())
            }
            state => state.invalid(RequestEvent::Enqueued),
        }
    }

    /// An attempt was ordered.
    pub fn start_attempt(self, attempt: InFlightAttempt) -> TransitionResult<()> {
        match self {
            RequestState::Queued { answer_sender } => proceed(
                RequestState::AttemptInFlight {
                    answer_sender,
                    attempt,
                },
                (),
            ),
            state => state.invalid(RequestEvent::AttemptStarted),
        }
    }

    /// The first token of an attempt has come.
    pub fn first_token(self, number: u32) -> TransitionResult<AnswerSender> {
        match self {
            RequestState::AttemptInFlight {
                answer_sender,
                attempt,
            } if attempt.number == number => {
                proceed(RequestState::Streaming { attempt }, answer_sender)
            }
            state => state.invalid(RequestEvent::FirstToken(number)),
        }
    }

    /// An attempt has ended, streaming or not.
    pub fn end_attempt(self, number: u32) -> TransitionResult<InFlightAttempt> {
        match self {
            state if !state.has_attempt(number) => {
                state.invalid(RequestEvent::AttemptEnded(number))
            }
            RequestState::AttemptInFlight {
                answer_sender,
                attempt,
            } => proceed(RequestState::Queued { answer_sender }, attempt),
            RequestState::Streaming { attempt }
            | RequestState::Answered {
                attempt: Some(attempt),
            } => proceed(RequestState::Answered { attempt: None }, attempt),
            state => state.invalid(RequestEvent::AttemptEnded(number)),
        }
    }

    /// An attempt is cancelled or has timed out. One that has begun to answer goes on.
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
                proceed(RequestState::Answered { attempt: None }, answer_sender)
            }
            RequestState::AttemptInFlight {
                answer_sender,
                attempt,
            } => proceed(
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
        proceed(RequestState::Abandoned, attempt)
    }
}

#[cfg(test)]
mod tests;
