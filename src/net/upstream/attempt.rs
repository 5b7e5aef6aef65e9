//! Call attempts. An attempt sends one request to one server in these stages: it connects, writes
//! the request, waits for the head of the response and streams its body. At its end it sends one
//! report to the core, unless the core knows of the end already. The decision module decides about
//! retries.

use std::sync::Arc;
use std::time::Instant;

use bytes::{Bytes, BytesMut};
use tracing::{debug, trace};

use super::Upstream;
use super::attempt_end::{Completion, Interruption, LastChunk};
use super::connection::{Connection, FramedHead};
use super::response_stream::ResponseStream;
use crate::core::{Attempt, AttemptGate, AttemptId, CoreMessage, Payload, StartDecision};
use crate::interface::Outcome;
use crate::net::http::Head;

/// The capacity reserved for the headers that an attempt adds to a request, in bytes.
const ADDED_HEADERS_BYTES: usize = 96;
/// A body up to this size is copied behind its head, so that one system call writes both.
const MAX_COPIED_BODY_BYTES: usize = 8 << 10;

/// A request as it is written to a connection.
struct EncodedRequest {
    head: Bytes,
    /// The body, unless it stands behind the head.
    body: Bytes,
}

impl Upstream {
    /// Runs a call attempt and reports its end to the core. Cancelling the attempt closes its
    /// connection.
    pub(super) async fn run_attempt(self: Arc<Self>, attempt: Attempt) {
        let id = attempt.id;
        let result = tokio::select! {
            biased;
            // the core knows the outcome already
            _ = attempt.cancelled => return trace!("attempt {id:?} cancelled"),
            result = self.call(id, attempt.payload, attempt.deadline, &attempt.gate) => result,
        };
        let Completion { result, last_chunk } = match result {
            Ok(completion) => completion,
            Err(Interruption::Failed(outcome)) => Completion {
                result: outcome.into(),
                last_chunk: None,
            },
            Err(Interruption::ClientDisconnected | Interruption::CoreStopped) => return,
        };
        let message = CoreMessage::AttemptEnded {
            id,
            at: Instant::now(),
            result,
        };
        let _ = self.messages.send(message).await;
        if let Some(LastChunk { chunks, chunk }) = last_chunk {
            let _ = chunks.send(chunk).await;
        }
    }

    async fn call(
        &self,
        id: AttemptId,
        payload: Payload,
        deadline: Instant,
        gate: &AttemptGate,
    ) -> Result<Completion, Interruption> {
        // the outcome is the same for a failure of this machine, as the interface has no other
        // outcome that allows a retry on another server
        let mut connection = self
            .acquire_connection(gate.latest_start())
            .await
            .ok_or(Interruption::Failed(Outcome::ConnectFailed))?;
        let request = self.encode_request(payload, deadline);
        self.begin(id, gate).await?;
        self.write_request(&connection, &request).await?;
        drop(request);
        let FramedHead { head, framing } = self.read_head(&mut connection).await?;
        if head.status == 200 {
            let stream = ResponseStream::new(self, id, connection, framing)?;
            return stream.forward(&head).await;
        }
        self.drain_body(connection, &head, framing).await;
        Err(Interruption::Failed(failure_outcome(&head)))
    }

    /// Encodes the request, with headers for the server's address and for the time left until the
    /// deadline.
    fn encode_request(&self, payload: Payload, deadline: Instant) -> EncodedRequest {
        let remaining_ms = deadline
            .saturating_duration_since(Instant::now())
            .as_millis()
            .max(1);
        let added_headers = format!(
            "Host: {}\r\nX-Expires-In-Ms: {remaining_ms}\r\n\r\n",
            self.address
        );
        let copied_body = match payload.body.len() {
            ..=MAX_COPIED_BODY_BYTES => payload.body.clone(),
            _ => Bytes::new(),
        };
        let length = payload.preamble.len() + copied_body.len() + ADDED_HEADERS_BYTES;
        let mut head = BytesMut::with_capacity(length);
        head.extend_from_slice(&payload.preamble);
        head.extend_from_slice(added_headers.as_bytes());
        head.extend_from_slice(&copied_body);
        EncodedRequest {
            head: head.freeze(),
            body: if copied_body.is_empty() {
                payload.body
            } else {
                Bytes::new()
            },
        }
    }

    /// Marks the attempt as started, unless it is too late or the client has disconnected. From
    /// then on, the attempt counts as run.
    async fn begin(&self, id: AttemptId, gate: &AttemptGate) -> Result<(), Interruption> {
        match gate.try_start(Instant::now()) {
            StartDecision::Start => Ok(()),
            StartDecision::TooLate => {
                debug!(
                    "{}: attempt {id:?} not started: its latest start time has passed",
                    self.address
                );
                Err(Interruption::Failed(Outcome::ConnectFailed))
            }
            StartDecision::ClientDisconnected => {
                debug!(
                    "{}: attempt {id:?} not started: its client disconnected",
                    self.address
                );
                let _ = self
                    .messages
                    .send(CoreMessage::ClientDisconnected {
                        request: id.request,
                    })
                    .await;
                Err(Interruption::ClientDisconnected)
            }
        }
    }

    async fn write_request(
        &self,
        connection: &Connection,
        request: &EncodedRequest,
    ) -> Result<(), Interruption> {
        for part in [&request.head, &request.body] {
            if let Err(e) = connection.stream.write_all(part).await {
                debug!("{}: failed to write a request: {e}", self.address);
                return Err(Interruption::Failed(Outcome::ConnectFailed));
            }
        }
        self.metrics.record_attempt_sent();
        Ok(())
    }

    async fn read_head(&self, connection: &mut Connection) -> Result<FramedHead, Interruption> {
        connection.read_head().await.map_err(|e| {
            debug!("{}: failed to read a response head: {e}", self.address);
            Interruption::Failed(Outcome::ConnectionReset)
        })
    }
}

/// The outcome for a response whose status is not 200. [`Outcome::Rejected`] if the server reports
/// that it didn't process the request.
fn failure_outcome(head: &Head) -> Outcome {
    if head.get("x-never-ran") == Some("1") && matches!(head.status, 503 | 504) {
        Outcome::Rejected
    } else {
        Outcome::Error
    }
}
