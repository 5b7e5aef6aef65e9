//! Call attempts: one request to one server, by stages: connecting, writing, awaiting the head of
//! the response, streaming its body. Each attempt ends with one report to the core. Retries are the
//! decision module's.

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

/// Capacity reserved for the headers that are added to a request, in bytes.
const ADDED_HEADERS_BYTES: usize = 96;

impl Upstream {
    /// Makes a call attempt and reports its end to the core. Cancelling it closes its connection.
    pub(super) async fn run_attempt(self: Arc<Self>, attempt: Attempt) {
        let id = attempt.id;
        let result = tokio::select! {
            biased;
            // the core has the outcome already
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
        // also where the failure was this machine's: the interface has no other outcome after which
        // the request may be retried on another server
        let mut connection = self
            .acquire_connection(gate.latest_start())
            .await
            .ok_or(Interruption::Failed(Outcome::ConnectFailed))?;
        let request = self.encode_request(&payload, deadline);
        self.begin(id, gate).await?;
        self.write_request(&connection, &request).await?;
        drop((request, payload));
        let FramedHead { head, framing } = self.read_head(&mut connection).await?;
        if head.status == 200 {
            let stream = ResponseStream::new(self, id, connection, &head, framing)?;
            return stream.forward(&head).await;
        }
        self.drain_body(connection, &head, framing).await;
        Err(Interruption::Failed(failure_outcome(&head)))
    }

    /// The request as it goes out, with the time that is left for it.
    fn encode_request(&self, payload: &Payload, deadline: Instant) -> Bytes {
        let left_ms = deadline
            .saturating_duration_since(Instant::now())
            .as_millis()
            .max(1);
        let added_headers = format!(
            "Host: {}\r\nX-Expires-In-Ms: {left_ms}\r\n\r\n",
            self.address
        );
        let length = payload.preamble.len() + payload.body.len() + ADDED_HEADERS_BYTES;
        let mut request = BytesMut::with_capacity(length);
        request.extend_from_slice(&payload.preamble);
        request.extend_from_slice(added_headers.as_bytes());
        request.extend_from_slice(&payload.body);
        request.freeze()
    }

    /// Passes the point after which the attempt counts as run, unless that is too late.
    async fn begin(&self, id: AttemptId, gate: &AttemptGate) -> Result<(), Interruption> {
        match gate.try_start(Instant::now()) {
            StartDecision::Start => Ok(()),
            StartDecision::TooLate => {
                debug!("{}: attempt {id:?} not started: too late", self.address);
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
        request: &[u8],
    ) -> Result<(), Interruption> {
        if let Err(e) = connection.stream.write_all(request).await {
            debug!("{}: failed to write a request: {e}", self.address);
            return Err(Interruption::Failed(Outcome::ConnectFailed));
        }
        self.metrics.record_attempt_sent();
        Ok(())
    }

    async fn read_head(&self, connection: &mut Connection) -> Result<FramedHead, Interruption> {
        connection.read_head().await.map_err(|e| {
            debug!("{}: no response: {e}", self.address);
            Interruption::Failed(Outcome::ConnectionReset)
        })
    }
}

/// The outcome of a response other than 200: whether the server rejected the request unprocessed.
fn failure_outcome(head: &Head) -> Outcome {
    if head.get("x-never-ran") == Some("1") && matches!(head.status, 503 | 504) {
        Outcome::Rejected
    } else {
        Outcome::Error
    }
}
