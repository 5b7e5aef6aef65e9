//! Accepts requests, abandons them when their clients disconnect, and removes them once they are
//! finished.

use std::time::Instant;

use tokio::sync::oneshot;
use tracing::trace;

use super::timers::Timer;
use super::{CLIENT_ANSWER_MARGIN, Core, FALLBACK_ANSWER_MARGIN};
use crate::core::attempt_history::AttemptHistory;
use crate::core::in_flight_request::InFlightRequest;
use crate::core::request_state::RequestState;
use crate::core::{Answer, Request, RequestAttributes};
use crate::interface::{Arrival, Event, Outcome, RequestId, Span, Timestamp, UnservedReason};
use crate::ops::unserved_requests::UnservedRequest;

/// Returns the attributes of a request that are passed to the decision module.
fn arrival(request: RequestId, attributes: &RequestAttributes, expires_at: Timestamp) -> Arrival {
    Arrival {
        request,
        class: attributes.class,
        tenant: attributes.tenant,
        session: attributes.session,
        prefix: attributes.prefix,
        prompt_tokens: attributes.prompt_tokens,
        shared_prefix_tokens: attributes.shared_prefix_tokens,
        max_output_tokens: attributes.max_output_tokens,
        expected_work: Span::from(attributes.expected_work),
        expires_at: expires_at - CLIENT_ANSWER_MARGIN,
        is_retry: attributes.client_retry,
        resumed: attributes.resumed,
        model: attributes.model,
        prior_attempts: attributes.prior_attempts,
    }
}

impl Core {
    /// Accepts a request, or rejects it if the number of requests in flight has reached the limit.
    pub(super) fn submit(
        &mut self,
        request: Request,
        answer_sender: oneshot::Sender<Answer>,
        id_sender: oneshot::Sender<RequestId>,
    ) {
        if self.requests.len() >= self.max_requests_in_flight {
            // The decision module is not notified of requests beyond the limit, as on the platform.
            self.metrics.record_unserved(UnservedRequest {
                class: request.attributes.class,
                reason: UnservedReason::InFlightLimit,
                available_servers: 0,
            });
            let _ = answer_sender.send(Answer::Rejected {
                retry_after: None,
                reason: UnservedReason::InFlightLimit,
                forwarded: false,
                attempts: 0,
            });
            return;
        }
        let id = self.next_request_id();
        let Request {
            attributes,
            payload,
            client,
        } = request;
        trace!(
            "request {}: class {}, {} prompt tokens, timeout {:?}",
            id.0, attributes.class, attributes.prompt_tokens, attributes.timeout
        );
        let expires_at =
            self.clock.time_at(attributes.received_at) + Span::from(attributes.timeout);
        let retry_window = self.retry_windows.get(attributes.class as usize);
        let retry_window = retry_window.copied().flatten();
        let mut in_flight = InFlightRequest {
            state: RequestState::accepted(answer_sender),
            history: AttemptHistory::new(attributes.prior_attempts, retry_window),
            payload,
            client,
            class: attributes.class,
            expires_at,
            received_at: attributes.received_at,
            interactive: attributes.interactive,
        };
        if attributes.interactive {
            self.load.request_opened();
        }
        let expiry = expires_at - FALLBACK_ANSWER_MARGIN;
        self.timers
            .set(expiry, Timer::RequestExpiry { request: id });
        let _ = id_sender.send(id);
        self.events
            .push(Event::RequestReceived(arrival(id, &attributes, expires_at)));
        in_flight.transition(RequestState::enqueue);
        self.requests.insert(id, in_flight);
    }

    /// Returns an id that no request in flight has.
    fn next_request_id(&mut self) -> RequestId {
        loop {
            self.last_id = self.last_id.wrapping_add(1);
            let id = RequestId(self.last_id);
            if !self.requests.contains_key(&id) {
                return id;
            }
        }
    }

    /// Abandons a request whose client has disconnected, and cancels its attempt.
    pub(super) fn client_disconnected(&mut self, request: RequestId) {
        let Some(in_flight) = self.requests.get_mut(&request) else {
            return;
        };
        trace!("request {}: the client has disconnected", request.0);
        let attempt = in_flight.transition(RequestState::abandon).flatten();
        self.events.push(Event::ClientDisconnected { request });
        if let Some(attempt) = attempt {
            self.record_end(request, attempt, Outcome::Cancelled.into(), Instant::now());
        }
        self.remove_if_finished(request);
    }

    /// Removes a request if it is finished, which means that no further event can affect it.
    pub(super) fn remove_if_finished(&mut self, request: RequestId) {
        let finished = |in_flight: &InFlightRequest| in_flight.state.is_finished();
        if self.requests.get(&request).is_some_and(finished)
            && let Some(in_flight) = self.requests.remove(&request)
            && in_flight.interactive
        {
            self.load.request_closed();
        }
    }
}
