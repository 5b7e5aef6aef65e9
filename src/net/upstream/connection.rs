//! Connections to model servers.

use crate::net::connection_limit::ConnectionPermit;
use crate::net::http::{self, Buffer, Framing, Head, HttpError};
use crate::net::stream::Stream;

/// A connection to a server with its read buffer. It counts towards the connection limit until it
/// is dropped.
pub(super) struct Connection {
    pub(super) stream: Stream,
    pub(super) buffer: Buffer,
    pub(super) _permit: ConnectionPermit,
}

/// The head of a response, and the framing of the body that follows.
pub(super) struct FramedHead {
    pub(super) head: Head,
    pub(super) framing: Framing,
}

impl Connection {
    /// Reads the head of a response. The caller limits the wait for its first byte.
    pub(super) async fn read_head(&mut self) -> Result<FramedHead, HttpError> {
        let head = http::read_response_head(&mut self.buffer, &mut self.stream).await?;
        let framing = head.response_framing()?;
        Ok(FramedHead { head, framing })
    }
}
