//! The states of a client's connection. Pure: an event leads to the next state or to an error.
//!
//! ```text
//!        request started     request received     request finished
//!   Idle ──────────────▶ Receiving ──────────▶ Answering ──────────▶ Idle
//!    │                      │ request finished (answered before its end)  ▲
//!    │                      └─────────────────────────────────────────────┘
//!    └── close, also from Receiving ──▶ Closed
//! ```
//!
//! A connection can't close from `Answering`: a request that has been received completely finishes
//! first.

/// The state of a client's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionState {
    /// No request has begun to arrive, and no answer is due.
    Idle,
    /// A request has begun to arrive and is not complete.
    Receiving,
    /// A request was received completely, and its answer is due.
    Answering,
    /// No request is served and no answer is written any more.
    Closed,
}

/// How a request finishes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The answer was written completely.
    Answered,
    /// The client has disconnected, or no longer accepts bytes.
    ClientDisconnected,
    /// Only part of the answer was written.
    StreamBroken,
}

/// An event of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionEvent {
    /// The first byte of a request has arrived.
    RequestStarted,
    /// The request has arrived completely.
    RequestReceived,
    /// The request has finished.
    RequestFinished(RequestOutcome),
    /// The connection closes.
    Close,
}

/// An event that is invalid in the connection's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("invalid event {event:?} for a connection in the state {state:?}")]
pub struct InvalidTransition {
    /// The state.
    pub state: ConnectionState,
    /// The event.
    pub event: ConnectionEvent,
}

impl ConnectionState {
    /// The state after an event.
    pub fn after(self, event: ConnectionEvent) -> Result<ConnectionState, InvalidTransition> {
        use ConnectionEvent::{Close, RequestFinished, RequestReceived, RequestStarted};
        use ConnectionState::{Answering, Closed, Idle, Receiving};
        match (self, event) {
            (Idle, RequestStarted) => Ok(Receiving),
            (Receiving, RequestReceived) => Ok(Answering),
            (Receiving | Answering, RequestFinished(_)) => Ok(Idle),
            (Idle | Receiving, Close) => Ok(Closed),
            (state, event) => Err(InvalidTransition { state, event }),
        }
    }
}

#[cfg(test)]
mod tests;
