//! Forwards a client's request to the core and relays the answer.

use std::time::{Duration, Instant};

use super::answer_timing::AnswerTiming;
use super::reply::{RelayEnd, Reply};
use super::request_head::RequestHead;
use super::{ConnectionHandler, NextStep, Persistence, RequestError};
use crate::core::{Answer, PendingRequest, Request};
use crate::interface::UnservedReason;
use crate::memory::with_guard;
use crate::net::http::{Body, Head, HttpError, MAX_BODY_BYTES, is_safe_header_value};
use crate::net::listener::{ReceivedBody, RequestOutcome};
use crate::net::upstream::UpstreamRequest;
use crate::ops::metrics::RequestOutcome as Outcome;
use crate::request_ids::{ClaimError, RequestIdGuard};
use serde::de::IgnoredAny;

/// How long a request waits for the process that owns the ids, while two processes of the router
/// run. Longer than a process is usually held up.
const MAX_CLAIM_WAIT: Duration = Duration::from_millis(250);

/// The answer to a request that no model server has served.
struct Unserved {
    reply: Reply,
    outcome: Outcome,
    reason: UnservedReason,
    /// Whether some attempt reached a model server.
    forwarded: bool,
}

impl Unserved {
    fn rejected(
        reason: UnservedReason,
        forwarded: bool,
        retry_after: Option<Duration>,
    ) -> Unserved {
        Unserved {
            reply: Reply {
                retry_after,
                ..Reply::unavailable("refused; trying again is harmless")
            },
            outcome: Outcome::Rejected,
            reason,
            forwarded,
        }
    }

    fn failed(reason: UnservedReason, forwarded: bool) -> Unserved {
        Unserved {
            reply: Reply::new(502, "Bad Gateway", "failed"),
            outcome: Outcome::Failed,
            reason,
            forwarded,
        }
    }
}

impl ConnectionHandler {
    /// Receives the rest of a request, submits it to the core and answers it.
    pub(super) async fn forward_request(
        &mut self,
        head: &Head,
        mut body: Body,
    ) -> Result<NextStep, RequestError> {
        let RequestHead { mut attributes, id } = self
            .context
            .parse_head(head)
            .map_err(|e| RequestError::rejected(e.into(), body))?;
        let idempotency_key = head
            .get("idempotency-key")
            .filter(|key| is_safe_header_value(key));
        self.connection.send_continue(head).await?;
        let received = self.receive_body(&mut body, attributes.timeout).await?;
        // the id is acquired only once the request is complete: a client sends an incomplete
        // request again under the same id
        let id_guard = self
            .claim_id(id, attributes.timeout)
            .await
            .map_err(|reply| RequestError::rejected(reply, body))?;
        self.connection.request_received();
        // the deadline counts from the last byte, however slowly the request arrived
        attributes.received_at = received.received_at;
        let ReceivedBody { bytes, memory, .. } = received;
        let upstream_request = UpstreamRequest {
            method: &head.method,
            target: &head.target,
            trace_id: Some(id),
            idempotency_key,
            // the memory stays reserved until nothing refers to the body any more
            body: match memory {
                Some(memory) => with_guard(bytes, memory),
                None => bytes,
            },
        };
        let request = Request {
            attributes,
            payload: upstream_request.into_payload(),
            client: Some(self.connection.presence()),
        };
        self.submit(request, id_guard, Persistence::requested(head))
            .await
    }

    /// Claims the id of a request whose client waits for `timeout`, or returns the reply to it.
    async fn claim_id(&self, id: &str, timeout: Duration) -> Result<RequestIdGuard, Reply> {
        let limit = timeout.min(MAX_CLAIM_WAIT);
        let claimed = self.context.request_ids.claim(id, limit).await;
        claimed.map_err(|error| match error {
            ClaimError::InUse => Reply::new(409, "Conflict", "X-Trace-Id is in use"),
            ClaimError::OwnerSilent => {
                Reply::unavailable("the router's other process does not answer")
            }
        })
    }

    /// Receives the body of a request whose client waits for `timeout`. The body must be a JSON
    /// object: a wrong length may cut it short, and a model server would treat the remaining bytes
    /// as another request.
    async fn receive_body(
        &mut self,
        body: &mut Body,
        timeout: Duration,
    ) -> Result<ReceivedBody, RequestError> {
        let memory = self.context.memory.clone();
        let received = self
            .connection
            .receive_body(body, MAX_BODY_BYTES, &memory, Some(timeout))
            .await;
        let reply = match received {
            Ok(received) if is_json_object(&received.bytes) => return Ok(received),
            Ok(_) => Reply::new(400, "Bad Request", "the body is no JSON object"),
            Err(HttpError::NoCapacity) => Reply::unavailable("no room for the body"),
            Err(HttpError::BodyTooLarge) => Reply::content_too_large(),
            Err(HttpError::Timeout) => Reply::request_timeout(),
            Err(e) => return Err(e.into()),
        };
        Err(RequestError::rejected(reply, *body))
    }

    /// Submits a request to the core and answers it.
    async fn submit(
        &mut self,
        request: Request,
        id_guard: RequestIdGuard,
        persistence: Persistence,
    ) -> Result<NextStep, RequestError> {
        if self.connection.has_disconnected() {
            return Ok(self.client_disconnected());
        }
        let timing = AnswerTiming {
            received_at: request.attributes.received_at,
            read_at: Instant::now(),
            timeout: request.attributes.timeout,
        };
        let Ok(mut pending) = self.context.core.submit(request).await else {
            let reply = Reply::unavailable("the router is ending");
            return self.reply(&reply, Persistence::Close).await;
        };
        let answer = tokio::select! {
            biased;
            answer = pending.answer() => answer,
            // dropping `pending` notifies the core
            () = self.connection.wait_for_disconnect() => return Ok(self.client_disconnected()),
        };
        let unserved = match answer {
            Answer::Started(chunks) => {
                self.record_answer(&timing, Outcome::Completed, Instant::now());
                let end = self.relay(chunks, persistence).await?;
                if matches!(end, RelayEnd::Broken) {
                    timing.log_broken_stream(id_guard.id());
                }
                return Ok(self.finish_stream(end, pending));
            }
            Answer::Rejected {
                retry_after,
                forwarded,
                reason,
                ..
            } => Unserved::rejected(reason, forwarded, retry_after),
            Answer::Failed {
                forwarded, reason, ..
            } => Unserved::failed(reason, forwarded),
        };
        pending.complete();
        self.answer_unserved(unserved, &timing, id_guard, persistence)
            .await
    }

    async fn answer_unserved(
        &mut self,
        unserved: Unserved,
        timing: &AnswerTiming,
        id_guard: RequestIdGuard,
        persistence: Persistence,
    ) -> Result<NextStep, RequestError> {
        let decided_at = Instant::now();
        timing.log_unserved(id_guard.id(), unserved.outcome, unserved.reason);
        if !unserved.forwarded {
            id_guard.release();
        }
        let step = self.reply(&unserved.reply, persistence).await;
        self.record_answer(timing, unserved.outcome, decided_at);
        step
    }

    fn record_answer(&self, timing: &AnswerTiming, outcome: Outcome, decided_at: Instant) {
        timing.record(self.connection.metrics().clients(), outcome, decided_at);
    }

    /// Reports the end of a stream to the core.
    fn finish_stream(&mut self, end: RelayEnd, pending: PendingRequest) -> NextStep {
        match end {
            RelayEnd::Complete(persistence) => {
                pending.complete();
                persistence.into()
            }
            RelayEnd::Broken => {
                pending.fail();
                self.connection.finish_request(RequestOutcome::StreamBroken);
                NextStep::Close
            }
            // dropping `pending` notifies the core
            RelayEnd::Disconnected => self.client_disconnected(),
        }
    }

    fn client_disconnected(&mut self) -> NextStep {
        self.connection
            .finish_request(RequestOutcome::ClientDisconnected);
        NextStep::Drop
    }
}

fn is_json_object(bytes: &[u8]) -> bool {
    bytes.trim_ascii_start().first() == Some(&b'{')
        && serde_json::from_slice::<IgnoredAny>(bytes).is_ok()
}
