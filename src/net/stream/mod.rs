//! Connected streams. All reads, peeks and writes on the router's connections go through this
//! module.
//!
//! - A call interrupted by a signal (`EINTR`) is retried immediately, as the connection is intact.
//! - A short read or write does not mean that the socket is drained or full. Tokio's own
//!   `AsyncRead` and `AsyncWrite` assume that it does and clear the socket's readiness. As no
//!   further event follows for bytes that have already arrived, the next call would then wait
//!   forever. Here, only `EAGAIN` clears readiness.
//! - A call that fails because the system lacks memory or buffers (`ENOMEM`, `ENOBUFS`) is retried,
//!   first immediately and then with a delay, as the connection is intact here too.
//! - Any other error means that the connection is broken.
//!
//! The cost is one additional `recv`, which finds nothing, before each wait for a peer whose bytes
//! have all been read.
//!
//! This module makes single system calls and retries them. Callers apply deadlines and interpret
//! the bytes.

mod socket;
mod transient;

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use rustix::net::RecvFlags;
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::sleep;

pub use socket::Socket;
use transient::{SHORTAGE_DELAY, is_shortage, retry_transient};

/// The maximum size of one read, in bytes. Limits how much memory is zeroed before the read.
const MAX_READ_BYTES: usize = 64 << 10;

/// The state of a stream, as a read would find it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamState {
    /// The connection is open, and there are no bytes to read.
    Quiet,
    /// There are bytes to read.
    Readable,
    /// The peer has closed or reset the connection, or the connection has failed, and no bytes are
    /// left to read.
    Closed,
}

/// A connected stream. Several tasks may call methods with a shared receiver concurrently.
#[derive(Debug)]
pub struct Stream<S = TcpStream> {
    socket: S,
}

impl<S: Socket> Stream<S> {
    /// Wraps a connected socket.
    pub fn new(socket: S) -> Stream<S> {
        Stream { socket }
    }

    /// The current state of the stream. Consumes no bytes. Makes a system call, because the
    /// runtime's view dates from its last poll for events: if the process was suspended or busy,
    /// peers may have closed their connections long ago.
    pub fn state(&self) -> StreamState {
        match self.try_peek(&mut [0]) {
            Ok(0) => StreamState::Closed,
            Ok(_) => StreamState::Readable,
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => StreamState::Quiet,
            Err(_) => StreamState::Closed,
        }
    }

    /// The time since the last bytes arrived, whether they were read or not. `None` if the system
    /// does not report it. Makes a system call.
    pub fn time_since_last_data(&self) -> Option<Duration> {
        tcp_info::time_since_last_data(&self.socket)
    }

    /// Whether the peer has closed or reset the connection, even if there are still unread bytes.
    /// Makes a system call.
    pub fn peer_has_closed(&self) -> bool {
        match retry_transient(|| self.socket.poll_hangup()) {
            Ok(closed) => closed,
            // without `poll`, a close is detected only after all bytes before it have been read
            Err(_) => self.state() == StreamState::Closed,
        }
    }

    /// Waits until there are bytes to read (returns true), or until the connection has closed or
    /// failed (returns false). Consumes no bytes. Cancel safe.
    pub async fn readable(&self) -> bool {
        let peek = || retry_transient(|| self.socket.receive(&mut [0], RecvFlags::PEEK));
        loop {
            match self.socket.async_io(Interest::READABLE, peek).await {
                Err(error) if is_shortage(&error) => sleep(SHORTAGE_DELAY).await,
                result => return matches!(result, Ok(1..)),
            }
        }
    }

    /// Copies the first unread bytes without consuming them. Returns 0 at the end of the
    /// connection. Fails with `WouldBlock` if there are no bytes to read. Makes a system call.
    pub fn try_peek(&self, buffer: &mut [u8]) -> io::Result<usize> {
        retry_transient(|| self.socket.receive(buffer, RecvFlags::PEEK))
    }

    /// Reads bytes that have arrived. Returns 0 at the end of the connection. Fails with
    /// `WouldBlock` if there are no bytes to read. Makes a system call.
    pub fn try_read(&self, buffer: &mut [u8]) -> io::Result<usize> {
        retry_transient(|| self.socket.receive(buffer, RecvFlags::empty()))
    }

    /// Writes all bytes.
    pub async fn write_all(&self, mut bytes: &[u8]) -> io::Result<()> {
        while !bytes.is_empty() {
            let send = || retry_transient(|| self.socket.send(bytes));
            let written = match self.socket.async_io(Interest::WRITABLE, send).await {
                Err(error) if is_shortage(&error) => {
                    sleep(SHORTAGE_DELAY).await;
                    continue;
                }
                written => written?,
            };
            if written == 0 {
                return Err(io::ErrorKind::WriteZero.into());
            }
            bytes = &bytes[written..];
        }
        Ok(())
    }

    /// Closes the write side, so that the peer reads the end of the stream.
    pub fn shutdown_write(&self) -> io::Result<()> {
        self.socket.shutdown_write()
    }
}

impl<S: Socket> AsyncRead for Stream<S> {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let wanted = buffer.remaining().min(MAX_READ_BYTES);
        let unfilled = buffer.initialize_unfilled_to(wanted);
        loop {
            ready!(self.socket.poll_read_ready(context))?;
            match self
                .socket
                .try_io(Interest::READABLE, || self.try_read(unfilled))
            {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) => return Poll::Ready(Err(e)),
                Ok(read) => {
                    buffer.advance(read);
                    return Poll::Ready(Ok(()));
                }
            }
        }
    }
}

impl<S: Socket> AsyncWrite for Stream<S> {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let send = || retry_transient(|| self.socket.send(bytes));
        loop {
            ready!(self.socket.poll_write_ready(context))?;
            match self.socket.try_io(Interest::WRITABLE, send) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                result => return Poll::Ready(result),
            }
        }
    }

    fn poll_flush(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<io::Result<()>> {
        // writes are not buffered
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(self.shutdown_write())
    }
}

#[cfg(test)]
mod tests;
