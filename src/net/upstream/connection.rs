//! A connection to a model server, with its read buffer.

use crate::net::connection_limit::ConnectionPermit;
use crate::net::http::{self, Buffer, Framing, Head, HttpError};
use crate::net::stream::Stream;

/// A connection to a server, counted by the limit while it lives.
pub(super) struct Connection {
    pub(super) stream: Stream,
    pub(super) buffer: Buffer,
    pub(super) _permit: ConnectionPermit,
}

/// The head of a response, and how the body ends that follows it.
pub(super) struct FramedHead {
    pub(super) head: Head,
    pub(super) framing: Framing,
}

impl Connection {
    /// Reads the head of a response. The wait for its first byte is the caller's to limit.
    pub(super) async fn read_head(&mut self) -> Result<FramedHead, HttpError> {
        let head = http::read_response_head(&mut self.buffer, &mut self.stream).await?;
        let framing = head.framing(true)?;
        Ok(FramedHead { head, framing })
    }
}
