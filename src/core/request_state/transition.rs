//! The events and transitions of a [`RequestState`], their results and errors. Which state allows
//! which event is defined by the state itself.

use thiserror::Error;

use super::RequestState;

/// The name of a [`RequestState`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::core) enum StateName {
    /// [`RequestState::Accepted`].
    Accepted,
    /// [`RequestState::Queued`].
    Queued,
    /// [`RequestState::AttemptInFlight`].
    AttemptInFlight,
    /// [`RequestState::Streaming`].
    Streaming,
    /// [`RequestState::Answered`] while an attempt is in flight.
    AnsweredWithAttempt,
    /// [`RequestState::Answered`] without an attempt.
    Answered,
    /// [`RequestState::Abandoned`].
    Abandoned,
}

/// An event in the life of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::core) enum RequestEvent {
    /// The decision module gets the request with its next events.
    Enqueued,
    /// An attempt was ordered.
    AttemptStarted,
    /// The first token of the attempt with this number has come.
    FirstToken(u32),
    /// The attempt with this number has ended.
    AttemptEnded(u32),
    /// The attempt with this number is cancelled because it has not begun to answer.
    AttemptCancelled(u32),
    /// The core gives the final answer.
    Answered,
    /// The client has disconnected.
    ClientDisconnected,
}

/// A state does not allow an event.
#[derive(Debug, Error)]
#[error("{event:?} is not allowed for a request that is {:?}", state.name())]
pub(in crate::core) struct InvalidTransition {
    /// The state, unchanged.
    pub state: RequestState,
    /// The event.
    pub event: RequestEvent,
}

/// A transition: the next state, and what the request releases.
#[derive(Debug)]
pub(in crate::core) struct Transition<T> {
    /// The next state.
    pub next: RequestState,
    /// What the old state owned and the next one does not.
    pub released: T,
}

/// A transition, or the state unchanged.
pub(in crate::core) type TransitionResult<T> = Result<Transition<T>, InvalidTransition>;
