//! A client's socket. Only bytes of the message under way are taken off it: what has been read has to be answered, so the next
//! request stays in the system until this connection is ready to serve it.

use std::io;
use std::net::Shutdown;
use std::sync::{Arc, Weak};

use futures_util::FutureExt;
use socket2::SockRef;
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::time::sleep;

use super::LOOK;
use crate::core::Client;
use crate::net::http::Buffer;
use crate::net::socket_state::{SocketState, peer_has_closed, socket_state};

/// The most that one read takes.
const READ: usize = 16 << 10;

/// A client's socket. Whoever only needs to know whether the client is still there holds a [`ClientPresence`].
#[derive(Debug)]
pub struct ClientSocket {
    stream: Arc<TcpStream>,
}

/// Tells whether a client is still there. Does not keep its connection open.
#[derive(Debug)]
pub struct ClientPresence {
    stream: Weak<TcpStream>,
}

impl Client for ClientPresence {
    fn has_left(&self) -> bool {
        self.stream.upgrade().is_none_or(|stream| peer_has_closed(&stream))
    }
}

impl ClientSocket {
    /// Takes over an accepted connection.
    pub fn new(stream: TcpStream) -> ClientSocket {
        ClientSocket { stream: Arc::new(stream) }
    }

    /// Tells from elsewhere whether the client is still there.
    pub fn presence(&self) -> ClientPresence {
        ClientPresence { stream: Arc::downgrade(&self.stream) }
    }

    /// What a read would find now, as the system has it.
    pub fn state(&self) -> SocketState {
        socket_state(&self.stream)
    }

    /// Whether the client has closed its side, also where unread bytes come before the close.
    pub fn has_closed(&self) -> bool {
        peer_has_closed(&self.stream)
    }

    /// Waits until there are bytes to read; false where the connection is over. Takes nothing off the socket. Cancel safe.
    pub async fn readable(&self) -> bool {
        let mut byte = [0];
        matches!(self.stream.peek(&mut byte).await, Ok(n) if n > 0)
    }

    /// Reads what has come of a message and nothing behind it: of bytes that follow those in the buffer, `span` tells how
    /// many are the message's. The number of bytes read; 0 where none has come or the connection is over.
    pub fn read_message(
        &self,
        buffer: &mut Buffer,
        span: impl FnOnce(&Buffer, &[u8]) -> usize,
    ) -> io::Result<usize> {
        let mut room = [0; READ];
        let peeked = self.stream.peek(&mut room).now_or_never().unwrap_or(Ok(0))?;
        let wanted = span(buffer, &room[..peeked]);
        let read = self.stream.try_read(&mut room[..wanted])?;
        buffer.append(&room[..read]);
        Ok(read)
    }

    /// Writes all of it.
    pub async fn write_all(&self, mut bytes: &[u8]) -> io::Result<()> {
        while !bytes.is_empty() {
            self.stream.writable().await?;
            match self.stream.try_write(bytes) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(written) => bytes = &bytes[written..],
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) => return Err(e),
            }
        }
        Ok(())
    }

    /// Says that nothing more will be written.
    pub fn shutdown_write(&self) -> io::Result<()> {
        SockRef::from(&*self.stream).shutdown(Shutdown::Write)
    }

    /// Waits until the client has closed its side. What it writes until then is left unread. Cancel safe.
    pub async fn closed(&self) {
        while self.readable().await {
            // unread bytes hide the close from a read, not from the runtime
            match self.stream.ready(Interest::READABLE).await {
                Ok(ready) if !ready.is_read_closed() => sleep(LOOK).await,
                _ => return,
            }
        }
    }
}
