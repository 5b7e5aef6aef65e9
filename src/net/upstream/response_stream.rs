//! A response that is streamed: its body goes to the client chunk by chunk, from its first complete
//! event on. Until then the attempt may still be retried elsewhere, as the client has got nothing.

use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use tokio::sync::mpsc;
use tokio::time::timeout_at;
use tracing::debug;

use super::Upstream;
use super::attempt_end::{Completion, Interruption, LastChunk};
use super::connection::Connection;
use super::stream_tail::StreamTail;
use crate::core::{AttemptId, AttemptResult, Chunk, CoreMessage, MAX_BUFFERED_CHUNKS};
use crate::interface::Outcome;
use crate::net::http::{self, Body, FirstEventDetector, Framing, Head, HttpError};

/// A stream that brings nothing for so long is broken: its server disappeared without closing the
/// connection.
const STREAM_IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// The media type of a stream of events.
const EVENT_STREAM: &str = "text/event-stream";

/// How the body of a response ended.
enum BodyEnd {
    Complete,
    Broken,
}

/// A response whose head has been read.
pub(super) struct ResponseStream<'a> {
    upstream: &'a Upstream,
    id: AttemptId,
    connection: Connection,
    body: Body,
    prelude: Prelude,
    tail: StreamTail,
    /// Where the client reads from, once it has been offered the response.
    chunks: Option<mpsc::Sender<Chunk>>,
}

impl<'a> ResponseStream<'a> {
    pub(super) fn new(
        upstream: &'a Upstream,
        id: AttemptId,
        connection: Connection,
        head: &Head,
        framing: Framing,
    ) -> Result<ResponseStream<'a>, Interruption> {
        if framing == Framing::UntilClose {
            // a stream that was cut off would look complete
            debug!("{}: a stream without framing", upstream.address);
            return Err(Interruption::Failed(Outcome::ConnectionReset));
        }
        Ok(ResponseStream {
            upstream,
            id,
            connection,
            body: Body::with_bounded_chunks(framing),
            prelude: Prelude::new(head),
            tail: StreamTail::default(),
            chunks: None,
        })
    }

    /// Forwards the body to its end. A complete one leaves the connection for reuse.
    pub(super) async fn forward(mut self, head: &Head) -> Result<Completion, Interruption> {
        let end = self.forward_body().await?;
        // a response without an event has served nobody
        let Some(chunks) = self.chunks else {
            return Err(Interruption::Failed(Outcome::ConnectionReset));
        };
        match end {
            BodyEnd::Complete => self.upstream.return_to_pool(self.connection, head),
            // only the end of the framing is missing
            BodyEnd::Broken if self.tail.is_stream_complete() => {}
            BodyEnd::Broken => {
                let chunk = Chunk::Broken;
                return Ok(Completion {
                    result: Outcome::ConnectionReset.into(),
                    last_chunk: Some(LastChunk { chunks, chunk }),
                });
            }
        }
        let chunk = Chunk::Complete;
        Ok(Completion {
            result: AttemptResult {
                outcome: Outcome::Completed,
                cached_tokens: self.tail.cached_tokens(),
                load_report: None,
            },
            last_chunk: Some(LastChunk { chunks, chunk }),
        })
    }

    async fn forward_body(&mut self) -> Result<BodyEnd, Interruption> {
        loop {
            let bytes = match self.next_bytes().await {
                Ok(Some(bytes)) => bytes,
                Ok(None) => return Ok(BodyEnd::Complete),
                Err(e) => {
                    debug!("{}: stream broke: {e}", self.upstream.address);
                    return Ok(BodyEnd::Broken);
                }
            };
            self.tail.push(&bytes);
            match &self.chunks {
                Some(chunks) => send(chunks, bytes).await?,
                None => match self.prelude.push(&bytes) {
                    PreludeState::Incomplete => {}
                    PreludeState::Complete => self.offer_to_client().await?,
                    PreludeState::TooLong => {
                        debug!("{}: a stream without an event", self.upstream.address);
                        return Ok(BodyEnd::Broken);
                    }
                },
            }
        }
    }

    /// Reports the first event to the core, which offers the stream to the client, and sends it.
    async fn offer_to_client(&mut self) -> Result<(), Interruption> {
        let (chunks, client) = mpsc::channel(MAX_BUFFERED_CHUNKS);
        let started = CoreMessage::FirstToken {
            id: self.id,
            at: Instant::now(),
            chunks: client,
        };
        let reported = self.upstream.messages.send(started).await;
        reported.map_err(|_| Interruption::CoreStopped)?;
        send(&chunks, self.prelude.take()).await?;
        self.chunks = Some(chunks);
        Ok(())
    }

    /// The next bytes of the body; none at its proper end. Bounds the wait for them: the first
    /// event follows the head soon, a chunk that has begun is complete soon, and a server that has
    /// disappeared is not awaited for ever.
    async fn next_bytes(&mut self) -> Result<Option<Bytes>, HttpError> {
        let idle_timeout = match self.chunks {
            Some(_) => STREAM_IDLE_TIMEOUT,
            None => http::PARTIAL_MESSAGE_TIMEOUT,
        };
        let idle_deadline = Instant::now() + idle_timeout;
        let mut chunk_deadline = None;
        let Connection { stream, buffer, .. } = &mut self.connection;
        loop {
            if let Some(bytes) = self.body.take_buffered(buffer)? {
                return Ok(Some(bytes));
            }
            if self.body.is_complete() {
                return Ok(None);
            }
            if self.body.is_chunk_partial(buffer) {
                chunk_deadline =
                    chunk_deadline.or(Some(Instant::now() + http::PARTIAL_MESSAGE_TIMEOUT));
            }
            let deadline = chunk_deadline.unwrap_or(idle_deadline).min(idle_deadline);
            let read = timeout_at(deadline.into(), buffer.fill(stream)).await;
            if read.map_err(|_| HttpError::Timeout)?? == 0 {
                return Err(HttpError::ConnectionClosed);
            }
        }
    }
}

/// Sends a chunk to the client. A full channel delays this connection alone; a closed one means
/// that nobody wants the rest.
async fn send(chunks: &mpsc::Sender<Chunk>, bytes: Bytes) -> Result<(), Interruption> {
    chunks
        .send(Chunk::Data(bytes))
        .await
        .map_err(|_| Interruption::Failed(Outcome::Cancelled))
}

enum PreludeState {
    Incomplete,
    Complete,
    /// The prelude exceeds its limit without an event.
    TooLong,
}

/// A stream up to the end of its first event. An event cut short must not commit the client to this
/// attempt: the server may be about to disappear, and another could still serve the request.
struct Prelude {
    bytes: BytesMut,
    /// None where the response is no stream of events: its first bytes are enough then.
    first_event: Option<FirstEventDetector>,
}

impl Prelude {
    fn new(head: &Head) -> Prelude {
        let is_event_stream = head
            .get("content-type")
            .is_some_and(|media_type| media_type.starts_with(EVENT_STREAM));
        Prelude {
            bytes: BytesMut::new(),
            first_event: is_event_stream.then(FirstEventDetector::default),
        }
    }

    fn push(&mut self, bytes: &[u8]) -> PreludeState {
        let first_event = self.first_event.as_mut();
        let complete = first_event.is_none_or(|first_event| first_event.push(bytes));
        self.bytes.extend_from_slice(bytes);
        if complete {
            PreludeState::Complete
        } else if self.bytes.len() as u64 <= http::MAX_CHUNK_BYTES {
            PreludeState::Incomplete
        } else {
            PreludeState::TooLong
        }
    }

    fn take(&mut self) -> Bytes {
        std::mem::take(&mut self.bytes).freeze()
    }
}
