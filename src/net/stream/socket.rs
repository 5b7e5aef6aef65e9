//! The system calls of a connected socket, one per method, and its readiness as tracked by the
//! runtime. Calls are not retried here but by [`Stream`](super::Stream).

use std::io;
use std::net::Shutdown;
use std::os::fd::AsFd;
use std::task::{Context, Poll};

use rustix::event::{PollFd, PollFlags, Timespec, poll};
use rustix::net::{RecvFlags, SendFlags, recv, send};
use socket2::SockRef;
use tokio::io::Interest;
use tokio::net::{TcpStream, UnixStream};

/// The [`PollFlags`] that are set when the peer has closed or reset its side of the connection.
const HANGUP: PollFlags = PollFlags::RDHUP.union(PollFlags::HUP).union(PollFlags::ERR);

/// A connected socket. Each method that transfers bytes makes one system call, which may be
/// interrupted or transfer fewer bytes than requested.
pub trait Socket: AsFd + Sized + Send + Sync + Unpin {
    /// Polls until the runtime considers the socket readable.
    fn poll_read_ready(&self, context: &mut Context<'_>) -> Poll<io::Result<()>>;

    /// Polls until the runtime considers the socket writable.
    fn poll_write_ready(&self, context: &mut Context<'_>) -> Poll<io::Result<()>>;

    /// Makes the call if the runtime considers the socket ready. If the call would block, clears
    /// the socket's readiness.
    fn try_io<R>(&self, interest: Interest, call: impl FnOnce() -> io::Result<R>) -> io::Result<R>;

    /// Waits until the call does not block, and makes it. Cancel safe.
    fn async_io<R: Send>(
        &self,
        interest: Interest,
        call: impl FnMut() -> io::Result<R> + Send,
    ) -> impl Future<Output = io::Result<R>> + Send;

    /// Makes one `recv` call.
    fn receive(&self, buffer: &mut [u8], flags: RecvFlags) -> io::Result<usize> {
        let (_, received) = recv(self, buffer, flags)?;
        Ok(received)
    }

    /// Makes one `send` call.
    fn send(&self, bytes: &[u8]) -> io::Result<usize> {
        Ok(send(self, bytes, SendFlags::NOSIGNAL)?)
    }

    /// Makes one `poll` call, without waiting. Returns whether the peer has closed or reset its
    /// side.
    fn poll_hangup(&self) -> io::Result<bool> {
        let no_wait = Timespec {
            tv_sec: 0,
            tv_nsec: 0,
        };
        let mut watched = [PollFd::new(self, PollFlags::RDHUP)];
        poll(&mut watched, Some(&no_wait))?;
        Ok(watched[0].revents().intersects(HANGUP))
    }

    /// Makes one `shutdown` call for the write side. An already disconnected socket is not an
    /// error.
    fn shutdown_write(&self) -> io::Result<()> {
        match SockRef::from(self).shutdown(Shutdown::Write) {
            Err(e) if e.kind() == io::ErrorKind::NotConnected => Ok(()),
            result => result,
        }
    }
}

/// Implements [`Socket`] with the methods that Tokio's stream types have in common.
macro_rules! impl_socket {
    ($stream:ty) => {
        impl Socket for $stream {
            fn poll_read_ready(&self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
                <$stream>::poll_read_ready(self, context)
            }

            fn poll_write_ready(&self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
                <$stream>::poll_write_ready(self, context)
            }

            fn try_io<R>(
                &self,
                interest: Interest,
                call: impl FnOnce() -> io::Result<R>,
            ) -> io::Result<R> {
                <$stream>::try_io(self, interest, call)
            }

            async fn async_io<R: Send>(
                &self,
                interest: Interest,
                call: impl FnMut() -> io::Result<R> + Send,
            ) -> io::Result<R> {
                <$stream>::async_io(self, interest, call).await
            }
        }
    };
}

impl_socket!(TcpStream);
impl_socket!(UnixStream);
