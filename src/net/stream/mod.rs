//! Connected streams: the one place where the router reads from, peeks at and writes to its
//! connections.
//!
//! - A call that a signal interrupted (`EINTR`) is retried at once: the connection is unaffected.
//! - A short read or write does not show that the socket is drained or full. The runtime's own
//!   `AsyncRead` and `AsyncWrite` take it for that and clear its readiness; no event follows for
//!   bytes that have arrived already, so the next call would wait forever. Here only `EAGAIN`
//!   clears readiness.
//! - A call that the system lacks memory or buffers for (`ENOMEM`, `ENOBUFS`) is retried, at once
//!   and then with a delay: the connection is unaffected too.
//! - Any other error means that the connection is broken.
//!
//! The cost is one more `recv` that finds nothing, before each wait for a peer whose bytes have all
//! been read.
//!
//! Owns single system calls and their retries; deadlines and the meaning of the bytes are the
//! callers'.

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

/// The most that one read takes, in bytes. Bounds how much memory is cleared ahead of it.
const MAX_READ_BYTES: usize = 64 << 10;

/// The state of a stream: what a read would find.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamState {
    /// Nothing has arrived.
    Quiet,
    /// There are bytes to read.
    Readable,
    /// The peer has closed or reset the connection, and nothing is left to read.
    Closed,
}

/// A connected stream. Methods that take it by a shared reference may be called from several tasks
/// at once.
#[derive(Debug)]
pub struct Stream<S = TcpStream> {
    socket: S,
}

impl<S: Socket> Stream<S> {
    /// Wraps a connected socket.
    pub fn new(socket: S) -> Stream<S> {
        Stream { socket }
    }

    /// The state of the stream now. Makes a system call: the runtime's view is as old as its last
    /// poll for events, and a process that was suspended or busy may have sockets whose peers
    /// closed long ago. Consumes nothing.
    pub fn state(&self) -> StreamState {
        match self.try_peek(&mut [0]) {
            Ok(0) => StreamState::Closed,
            Ok(_) => StreamState::Readable,
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => StreamState::Quiet,
            Err(_) => StreamState::Closed,
        }
    }

    /// The time since the stream's last bytes arrived, read or unread; `None` where the system does
    /// not tell. Makes a system call.
    pub fn time_since_last_data(&self) -> Option<Duration> {
        tcp_info::time_since_last_data(&self.socket)
    }

    /// Whether the peer has closed or reset the connection, also where unread bytes come before the
    /// close. Makes a system call.
    pub fn peer_has_closed(&self) -> bool {
        match retry_transient(|| self.socket.poll_hangup()) {
            Ok(closed) => closed,
            // the poll failed: the close shows once the bytes before it have been read
            Err(_) => self.state() == StreamState::Closed,
        }
    }

    /// Waits until there are bytes to read (true), or the connection has closed or failed (false).
    /// Consumes nothing. Cancel safe.
    pub async fn readable(&self) -> bool {
        let peek = || retry_transient(|| self.socket.receive(&mut [0], RecvFlags::PEEK));
        loop {
            match self.socket.async_io(Interest::READABLE, peek).await {
                Err(error) if is_shortage(&error) => sleep(SHORTAGE_DELAY).await,
                result => return matches!(result, Ok(1..)),
            }
        }
    }

    /// Copies the first bytes that have arrived without consuming them. 0 at the connection's end;
    /// `WouldBlock` where nothing has arrived. Makes a system call.
    pub fn try_peek(&self, buffer: &mut [u8]) -> io::Result<usize> {
        retry_transient(|| self.socket.receive(buffer, RecvFlags::PEEK))
    }

    /// Reads bytes that have arrived. 0 at the connection's end; `WouldBlock` where nothing has
    /// arrived. Makes a system call.
    pub fn try_read(&self, buffer: &mut [u8]) -> io::Result<usize> {
        retry_transient(|| self.socket.receive(buffer, RecvFlags::empty()))
    }

    /// Writes all of it.
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

    /// Closes the side that is written to; the peer reads the end of the stream.
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
        // nothing is buffered on this side
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(self.shutdown_write())
    }
}

#[cfg(test)]
mod tests;
