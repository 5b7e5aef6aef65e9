//! A request in the core's table of requests in flight.

use std::sync::Arc;
use std::time::Instant;

use super::attempt_history::AttemptHistory;
use super::request_state::{RequestState, TransitionResult};
use super::{Client, Payload};
use crate::interface::Timestamp;

/// A request in flight.
#[derive(Debug)]
pub(super) struct InFlightRequest {
    /// Its state, which owns its current attempt.
    pub state: RequestState,
    /// Its attempts so far.
    pub history: AttemptHistory,
    /// The bytes that are sent to the model server.
    pub payload: Payload,
    /// The client that waits for the answer; `None` if no client can disconnect.
    pub client: Option<Arc<dyn Client>>,
    /// Its class.
    pub class: u32,
    /// When the client stops waiting.
    pub expires_at: Timestamp,
    /// When the request was completely received.
    pub received_at: Instant,
    /// Whether a person waits for the answer.
    pub interactive: bool,
}

impl InFlightRequest {
    /// Applies a transition and returns the value that the request releases. If the state does not
    /// allow the transition, the state is kept and `None` is returned.
    pub fn transition<T>(
        &mut self,
        apply: impl FnOnce(RequestState) -> TransitionResult<T>,
    ) -> Option<T> {
        let state = std::mem::replace(&mut self.state, RequestState::Abandoned);
        match apply(state) {
            Ok(transition) => {
                self.state = transition.next;
                Some(transition.released)
            }
            Err(invalid) => {
                self.state = invalid.state;
                None
            }
        }
    }
}
