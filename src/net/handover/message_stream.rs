//! Reads and writes messages as lines of JSON on the Unix socket between two processes.

use std::io;

use tokio::io::{AsyncWriteExt, ReadHalf, WriteHalf};
use tokio::net::UnixStream;

use super::message::PeerMessage;
use crate::net::http::Buffer;
use crate::net::stream::Stream;

/// Maximum size of a message in bytes. The largest messages contain an endpoint list.
const MAX_MESSAGE_BYTES: usize = 4 << 20;

/// Why a message can't be read or written.
#[derive(Debug, thiserror::Error)]
pub(super) enum MessageError {
    /// The connection failed.
    #[error(transparent)]
    Connection(#[from] io::Error),
    /// A received line is not a valid message.
    #[error("malformed message: {0}")]
    Malformed(#[source] serde_json::Error),
    /// A message can't be serialized to JSON.
    #[error("message can't be serialized: {0}")]
    Unserializable(#[source] serde_json::Error),
    /// A received line is longer than [`MAX_MESSAGE_BYTES`].
    #[error("message is longer than {MAX_MESSAGE_BYTES} bytes")]
    TooLong,
}

/// A connection to the other process.
pub(super) struct Connection {
    pub(super) reader: MessageReader,
    pub(super) writer: MessageWriter,
}

impl Connection {
    pub(super) fn new(stream: UnixStream) -> Connection {
        let (read_half, write_half) = tokio::io::split(Stream::new(stream));
        Connection {
            reader: MessageReader {
                buffer: Buffer::default(),
                half: read_half,
            },
            writer: MessageWriter { half: write_half },
        }
    }
}

/// The receiving side of a connection.
pub(super) struct MessageReader {
    buffer: Buffer,
    half: ReadHalf<Stream<UnixStream>>,
}

impl MessageReader {
    /// Reads the next message. `None` once the connection is closed, even within a message. Cancel
    /// safe.
    pub(super) async fn read(&mut self) -> Result<Option<PeerMessage>, MessageError> {
        loop {
            if let Some(end) = self.buffer.bytes().iter().position(|&byte| byte == b'\n') {
                let line = self.buffer.take(end + 1);
                return serde_json::from_slice(&line)
                    .map(Some)
                    .map_err(MessageError::Malformed);
            }
            if self.buffer.bytes().len() > MAX_MESSAGE_BYTES {
                return Err(MessageError::TooLong);
            }
            if self.buffer.fill(&mut self.half).await? == 0 {
                return Ok(None);
            }
        }
    }
}

/// The sending side of a connection.
pub(super) struct MessageWriter {
    half: WriteHalf<Stream<UnixStream>>,
}

impl MessageWriter {
    /// Writes a message.
    pub(super) async fn write(&mut self, message: &PeerMessage) -> Result<(), MessageError> {
        let mut line = serde_json::to_vec(message).map_err(MessageError::Unserializable)?;
        line.push(b'\n');
        Ok(self.half.write_all(&line).await?)
    }
}

#[cfg(test)]
mod tests;
