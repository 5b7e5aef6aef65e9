//! Streaming of a response body to the client, chunk by chunk. Nothing is sent to the client before
//! the first event is complete, so that until then the request can be retried on another server.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use tokio::sync::{Semaphore, mpsc};
use tracing::{debug, info};

use super::Upstream;
use super::attempt_end::{Completion, Interruption, LastChunk};
use super::body_reader::{BodyReader, WaitLimit};
use super::connection::Connection;
use super::stream_tail::StreamTail;
use crate::core::{AttemptId, AttemptResult, Chunk, CoreMessage, MAX_BUFFERED_CHUNKS};
use crate::interface::Outcome;
use crate::log_limit::LogLimit;
use crate::memory::with_guard;
use crate::net::http::{self, EventScanner, Framing, Head, HttpError};
use crate::ops::metrics::StreamEnd;

/// The maximum time after an event until the next event or the end of the stream. The platform
/// allows the client to wait for 5 s; the rest is a margin for a process that is held up.
const EVENT_TIMEOUT: Duration = Duration::from_millis(4800);

/// The number of bytes of a stream that may wait for its client.
const WINDOW_BYTES: usize = 16 << 10;

static BROKEN_STREAM_LOG: LogLimit = LogLimit::new();

/// A response whose head has been read, and whose body is being forwarded.
pub(super) struct ResponseStream<'a> {
    upstream: &'a Upstream,
    id: AttemptId,
    reader: BodyReader,
    events: EventScanner,
    /// When the last event was sent to the client. The time for which a slow client delays the
    /// reading does not count.
    last_event_at: Instant,
    tail: StreamTail,
    /// The start of the stream, until its first event is complete. A partial event must not commit
    /// the client to this attempt: another server could still serve the request.
    start: BytesMut,
    /// The channel to the client; `None` until the response has been offered to the client.
    chunks: Option<mpsc::Sender<Chunk>>,
    /// Limits the bytes that wait for the client.
    window: Arc<Semaphore>,
}

impl<'a> ResponseStream<'a> {
    pub(super) fn new(
        upstream: &'a Upstream,
        id: AttemptId,
        connection: Connection,
        framing: Framing,
    ) -> Result<ResponseStream<'a>, Interruption> {
        if framing == Framing::UntilClose {
            // without framing, a stream that was cut off can't be told from a complete one
            debug!("{}: a response stream has no framing", upstream.address);
            return Err(Interruption::Failed(Outcome::ConnectionReset));
        }
        Ok(ResponseStream {
            upstream,
            id,
            reader: BodyReader::new(
                connection,
                framing,
                upstream.memory.clone(),
                upstream.read_schedule.clone(),
            ),
            events: EventScanner::default(),
            last_event_at: Instant::now(),
            tail: StreamTail::default(),
            start: BytesMut::new(),
            chunks: None,
            window: Arc::new(Semaphore::new(WINDOW_BYTES)),
        })
    }

    /// Forwards the body up to its end. If the stream is whole, returns the connection to the pool:
    /// after any other end, bytes of this response may follow on it.
    pub(super) async fn forward(mut self, head: &Head) -> Result<Completion, Interruption> {
        let end = self.forward_body().await?;
        self.record_end(end);
        // the client has received nothing of a response without a complete event
        let Some(chunks) = self.chunks else {
            return Err(Interruption::Failed(Outcome::ConnectionReset));
        };
        if end != StreamEnd::Whole {
            return Ok(Completion {
                result: Outcome::ConnectionReset.into(),
                last_chunk: Some(LastChunk {
                    chunks,
                    chunk: Chunk::Broken,
                }),
            });
        }
        let connection = self.reader.into_connection();
        self.upstream.return_to_pool(connection, head);
        Ok(Completion {
            result: AttemptResult {
                outcome: Outcome::Completed,
                cached_tokens: self.tail.cached_tokens(),
                load_report: None,
            },
            last_chunk: Some(LastChunk {
                chunks,
                chunk: Chunk::Complete,
            }),
        })
    }

    fn record_end(&self, end: StreamEnd) {
        self.upstream.metrics.record_stream_end(end);
        if end == StreamEnd::Whole {
            return;
        }
        if let Some(omitted) = BROKEN_STREAM_LOG.admit(Instant::now()) {
            info!(
                "{}: the stream of request {} attempt {} is not whole ({}) after {} events{omitted}",
                self.upstream.address,
                self.id.request.0,
                self.id.attempt,
                end.label(),
                self.events.complete_events(),
            );
        }
    }

    async fn forward_body(&mut self) -> Result<StreamEnd, Interruption> {
        loop {
            let bytes = match self.next_bytes().await {
                Ok(Some(bytes)) => bytes,
                Ok(None) if self.events.is_whole() => return Ok(StreamEnd::Whole),
                Ok(None) => return Ok(StreamEnd::LastEventMissing),
                Err(error) => {
                    debug!(
                        "{}: failed to read a response stream: {error}",
                        self.upstream.address
                    );
                    return Ok(stream_end(&error));
                }
            };
            let complete_events = self.events.complete_events();
            self.events.push(&bytes);
            self.tail.push(&bytes);
            let received_at = Instant::now();
            self.reader.pause();
            if let Some(chunks) = &self.chunks {
                self.send(chunks, bytes).await?;
            } else {
                self.start.extend_from_slice(&bytes);
                if self.events.complete_events() > 0 {
                    self.offer_to_client().await?;
                } else if self.start.len() as u64 > http::MAX_CHUNK_BYTES {
                    return Ok(StreamEnd::TooLong);
                }
            }
            if self.events.complete_events() > complete_events {
                self.last_event_at = Instant::now();
            } else {
                self.last_event_at += received_at.elapsed();
            }
        }
    }

    /// Reports the first event to the core, which offers the stream to the client, and then sends
    /// the event to the client.
    async fn offer_to_client(&mut self) -> Result<(), Interruption> {
        let (chunks, client) = mpsc::channel(MAX_BUFFERED_CHUNKS);
        let started = CoreMessage::FirstToken {
            id: self.id,
            at: Instant::now(),
            chunks: client,
        };
        let reported = self.upstream.messages.send(started).await;
        reported.map_err(|_| Interruption::CoreStopped)?;
        let start = std::mem::take(&mut self.start).freeze();
        self.send(&chunks, start).await?;
        self.chunks = Some(chunks);
        Ok(())
    }

    /// Sends bytes to the client once at most [`WINDOW_BYTES`] wait for it; a larger chunk waits
    /// alone. A slow client delays only this connection. A closed channel means that the client
    /// doesn't read the stream any more.
    async fn send(&self, chunks: &mpsc::Sender<Chunk>, bytes: Bytes) -> Result<(), Interruption> {
        let permits = bytes.len().min(WINDOW_BYTES) as u32;
        let window = self.window.clone().acquire_many_owned(permits).await;
        let window = window.map_err(|_| Interruption::Failed(Outcome::Cancelled))?;
        let chunk = Chunk::Data(with_guard(bytes, window));
        let sent = chunks.send(chunk).await;
        sent.map_err(|_| Interruption::Failed(Outcome::Cancelled))
    }

    /// Reads the next bytes of the body; `None` at its regular end. Up to the first event, the
    /// server may write slowly until the attempt's deadline, but must not pause for long.
    async fn next_bytes(&mut self) -> Result<Option<Bytes>, HttpError> {
        if self.chunks.is_none() {
            let limit = WaitLimit::Silence(http::PARTIAL_MESSAGE_TIMEOUT);
            return self.reader.next(limit).await;
        }
        let limit = WaitLimit::Until(self.last_event_at + EVENT_TIMEOUT);
        self.reader.next_events(&self.events, limit).await
    }
}

/// How a stream ended that could not be read any further.
fn stream_end(error: &HttpError) -> StreamEnd {
    match error {
        HttpError::Io(_) | HttpError::ConnectionClosed => StreamEnd::Closed,
        HttpError::Timeout => StreamEnd::Timeout,
        HttpError::NoCapacity => StreamEnd::NoMemory,
        HttpError::Malformed(_) | HttpError::HeadTooLarge | HttpError::BodyTooLarge => {
            StreamEnd::Malformed
        }
    }
}
