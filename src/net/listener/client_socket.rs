//! A client's socket. Only this module reads from clients.
//!
//! It reads only bytes of the current request. A request that has been read has to be answered, so
//! the next request stays in the system's buffer until the connection is ready for it.

use std::io;
use std::sync::{Arc, Weak};
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::time::sleep;

use super::time_limits::DISCONNECT_CHECK_INTERVAL;
use crate::core::Client;
use crate::net::http::Buffer;
use crate::net::stream::{Stream, StreamState};

/// Maximum number of bytes that one read takes. Several requests fit into it, and the array is
/// small enough for the stack.
const MAX_READ_BYTES: usize = 16 << 10;

/// A client's socket. Code that only needs to know whether the client is still connected uses a
/// [`ClientPresence`].
#[derive(Debug)]
pub struct ClientSocket {
    stream: Arc<Stream>,
}

/// Reports whether a client is still connected. It holds a weak reference, so that it does not keep
/// the connection open.
#[derive(Debug)]
pub struct ClientPresence {
    stream: Weak<Stream>,
}

impl Client for ClientPresence {
    fn has_disconnected(&self) -> bool {
        self.stream
            .upgrade()
            .is_none_or(|stream| stream.peer_has_closed())
    }
}

impl ClientSocket {
    /// Takes over an accepted connection.
    pub fn new(stream: TcpStream) -> ClientSocket {
        ClientSocket {
            stream: Arc::new(Stream::new(stream)),
        }
    }

    /// A handle with which other tasks check whether the client is still connected.
    pub fn presence(&self) -> ClientPresence {
        ClientPresence {
            stream: Arc::downgrade(&self.stream),
        }
    }

    /// The state of the stream, as the operating system reports it: what a read would find now.
    pub fn state(&self) -> StreamState {
        self.stream.state()
    }

    /// Whether there are unread bytes and one read takes all of them.
    pub fn unread_fits_one_read(&self) -> bool {
        let mut bytes = [0; MAX_READ_BYTES];
        let peeked = self.stream.try_peek(&mut bytes);
        peeked.is_ok_and(|peeked| peeked < MAX_READ_BYTES)
    }

    /// The time since the last bytes arrived; `None` if the system does not report it.
    pub fn time_since_last_data(&self) -> Option<Duration> {
        self.stream.time_since_last_data()
    }

    /// Whether the client has closed its side, even if there are unread bytes before the close.
    pub fn has_closed(&self) -> bool {
        self.stream.peer_has_closed()
    }

    /// Waits until there are bytes to read. Returns false if the connection has ended. Reads
    /// nothing from the socket. Cancel safe.
    pub async fn readable(&self) -> bool {
        self.stream.readable().await
    }

    /// Reads the bytes of a message that have arrived, and none of the bytes after it.
    /// `bytes_to_read` returns how many of the bytes that follow those in the buffer belong to the
    /// message. Returns the number of bytes read; 0 if none has arrived or the connection has
    /// ended.
    pub fn read_message(
        &self,
        buffer: &mut Buffer,
        bytes_to_read: impl FnOnce(&Buffer, &[u8]) -> usize,
    ) -> io::Result<usize> {
        let mut bytes = [0; MAX_READ_BYTES];
        let peeked = match self.stream.try_peek(&mut bytes) {
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => 0,
            peeked => peeked?,
        };
        let wanted = bytes_to_read(buffer, &bytes[..peeked]);
        if wanted == 0 {
            return Ok(0);
        }
        let read = self.stream.try_read(&mut bytes[..wanted])?;
        buffer.append(&bytes[..read]);
        Ok(read)
    }

    /// Writes all of the bytes.
    pub async fn write_all(&self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await
    }

    /// Shuts down the writing side.
    pub fn shutdown_write(&self) -> io::Result<()> {
        self.stream.shutdown_write()
    }

    /// Waits until the client has closed its side. Bytes that the client sends in the meantime stay
    /// unread. Cancel safe.
    pub async fn wait_for_close(&self) {
        while self.readable().await {
            // a read reports the close only after all unread bytes; the system reports it at once
            if self.stream.peer_has_closed() {
                return;
            }
            sleep(DISCONNECT_CHECK_INTERVAL).await;
        }
    }
}
