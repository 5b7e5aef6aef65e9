//! The events and transitions of a [`RequestState`], with their results and errors. The state
//! itself defines which events it allows.

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

/// An event that can change the state of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::core) enum RequestEvent {
    /// The request is passed to the decision module with the next events.
    Enqueued,
    /// An attempt was created.
    AttemptStarted,
    /// The first token of the attempt with this number has arrived.
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

/// The state of a request does not allow an event.
#[derive(Debug, Error)]
#[error("{event:?} is not allowed for a request that is {:?}", state.name())]
pub(in crate::core) struct InvalidTransition {
    /// The state, unchanged.
    pub state: RequestState,
    /// The event.
    pub event: RequestEvent,
}

/// A transition: the next state, and the value that the request releases.
#[derive(Debug)]
pub(in crate::core) struct Transition<T> {
    /// The next state.
    pub next: RequestState,
    /// The value that the old state owned and the next state does not.
    pub released: T,
}

/// A transition, or the state unchanged.
pub(in crate::core) type TransitionResult<T> = Result<Transition<T>, InvalidTransition>;
