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
    /// The bytes that are sent for it.
    pub payload: Payload,
    /// The client that waits for it; none where no client can disconnect.
    pub client: Option<Arc<dyn Client>>,
    /// When its client stops waiting.
    pub expires_at: Timestamp,
    /// When it had come in completely.
    pub received_at: Instant,
    /// A person waits for it.
    pub interactive: bool,
}

impl InFlightRequest {
    /// Makes a transition and returns what the request releases by it; `None` where its state does
    /// not allow the transition, and stays.
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
