//! Writes answers to a client: plain-text replies, and streams that are relayed as they arrive.

use std::borrow::Cow;
use std::time::Duration;

use bytes::{BufMut, BytesMut};
use tokio::sync::mpsc;

use super::{ConnectionHandler, NextStep, Persistence, RequestError};
use crate::core::Chunk;
use crate::net::http::{CHUNK_END, HttpError, LAST_CHUNK, put_chunk_size};

/// The lowest status code of an answer that reports an error.
const FIRST_ERROR_STATUS: u16 = 400;

/// The maximum number of bytes of a stream that are collected for one write.
const MAX_OUTPUT_BYTES: usize = 8 << 10;
/// The maximum number of bytes of a large chunk that are written at a time.
const MAX_WRITE_BYTES: usize = 16 << 10;

/// A plain-text answer.
#[derive(Debug, PartialEq)]
pub(super) struct Reply {
    pub(super) status: u16,
    pub(super) reason: &'static str,
    /// The value of the `Retry-After` header, if the answer has one.
    pub(super) retry_after: Option<Duration>,
    pub(super) text: Cow<'static, str>,
}

impl Reply {
    pub(super) fn new(
        status: u16,
        reason: &'static str,
        text: impl Into<Cow<'static, str>>,
    ) -> Reply {
        Reply {
            status,
            reason,
            retry_after: None,
            text: text.into(),
        }
    }

    /// Rejects a request that no model server has run, so that it may be retried.
    pub(super) fn unavailable(text: &'static str) -> Reply {
        Reply::new(503, "Service Unavailable", text)
    }

    /// The request did not arrive completely in time.
    pub(super) fn request_timeout() -> Reply {
        Reply::new(408, "Request Timeout", "Request Timeout")
    }

    /// The request's body exceeds the limit.
    pub(super) fn content_too_large() -> Reply {
        Reply::new(413, "Content Too Large", "Content Too Large")
    }

    fn encode(&self, persistence: Persistence) -> String {
        let mut message = format!(
            "HTTP/1.1 {} {}\r\nContent-Type: text/plain\r\n",
            self.status, self.reason
        );
        if let Some(delay) = self.retry_after {
            message.push_str(&format!("Retry-After: {:.3}\r\n", delay.as_secs_f64()));
        }
        if persistence == Persistence::Close {
            message.push_str("Connection: close\r\n");
        }
        let length = self.text.len();
        message.push_str(&format!("Content-Length: {length}\r\n\r\n{}", self.text));
        message
    }
}

/// How relaying a stream ended.
pub(super) enum RelayEnd {
    /// The stream was written completely.
    Complete(Persistence),
    /// The stream broke off before its end.
    Broken,
    /// The client has disconnected.
    Disconnected,
}

impl ConnectionHandler {
    /// Relays the chunks of a stream as they arrive. If the stream breaks off, the answer ends
    /// without its last chunk.
    pub(super) async fn relay(
        &mut self,
        mut chunks: mpsc::Receiver<Chunk>,
        persistence: Persistence,
    ) -> Result<RelayEnd, HttpError> {
        let persistence = self.persistence(persistence);
        let mut output = BytesMut::new();
        put_stream_head(&mut output, persistence);
        loop {
            let mut next = Some(tokio::select! {
                biased;
                chunk = chunks.recv() => chunk.unwrap_or(Chunk::Broken),
                () = self.connection.wait_for_disconnect() => return Ok(RelayEnd::Disconnected),
            });
            // chunks that have arrived by now are sent in one write
            while let Some(chunk) = next {
                match chunk {
                    Chunk::Data(bytes) => self.relay_chunk(&bytes, &mut output).await?,
                    Chunk::Complete => {
                        output.put_slice(LAST_CHUNK);
                        self.connection.write_last(&output).await?;
                        return Ok(RelayEnd::Complete(persistence));
                    }
                    Chunk::Broken => {
                        self.connection.write(&output).await?;
                        return Ok(RelayEnd::Broken);
                    }
                }
                next = chunks.try_recv().ok();
            }
            self.connection.write(&output).await?;
            output.clear();
        }
    }

    /// Adds a chunk to `output`, or writes both if `output` would hold more than
    /// [`MAX_OUTPUT_BYTES`].
    async fn relay_chunk(&mut self, bytes: &[u8], output: &mut BytesMut) -> Result<(), HttpError> {
        put_chunk_size(output, bytes.len());
        if output.len() + bytes.len() <= MAX_OUTPUT_BYTES {
            output.put_slice(bytes);
        } else {
            self.connection.write(output).await?;
            output.clear();
            // each piece has its own time limit, so that a client that reads slowly is not cut off
            for piece in bytes.chunks(MAX_WRITE_BYTES) {
                self.connection.write(piece).await?;
            }
        }
        output.put_slice(CHUNK_END);
        Ok(())
    }

    /// Writes a reply.
    pub(super) async fn reply(
        &mut self,
        reply: &Reply,
        persistence: Persistence,
    ) -> Result<NextStep, RequestError> {
        let persistence = self.persistence(persistence);
        if reply.status >= FIRST_ERROR_STATUS {
            let metrics = self.connection.metrics().clients();
            metrics.record_error_answer(reply.status, &reply.text);
        }
        let message = reply.encode(persistence);
        self.connection.write_last(message.as_bytes()).await?;
        Ok(persistence.into())
    }

    /// Whether the connection stays open after an answer that begins now. During a shutdown or a
    /// drain it is closed, whatever the client requested.
    fn persistence(&self, requested: Persistence) -> Persistence {
        if self.connection.is_draining() {
            Persistence::Close
        } else {
            requested
        }
    }
}

fn put_stream_head(output: &mut BytesMut, persistence: Persistence) {
    output.put_slice(
        b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n",
    );
    if persistence == Persistence::Close {
        output.put_slice(b"Connection: close\r\n");
    }
    output.put_slice(b"\r\n");
}
