//! The system calls of a connected socket, one call a method, and its readiness as the runtime
//! knows it. Retries are the stream's.

use std::io;
use std::net::Shutdown;
use std::os::fd::AsFd;
use std::task::{Context, Poll};

use rustix::event::{PollFd, PollFlags, Timespec, poll};
use rustix::net::{RecvFlags, SendFlags, recv, send};
use socket2::SockRef;
use tokio::io::Interest;
use tokio::net::{TcpStream, UnixStream};

/// The [`PollFlags`] that show that the peer has closed or reset its side.
const HANGUP: PollFlags = PollFlags::RDHUP.union(PollFlags::HUP).union(PollFlags::ERR);

/// A connected socket: single system calls, each of which may be interrupted or short, and the
/// runtime's readiness.
pub trait Socket: AsFd + Sized + Send + Sync + Unpin {
    /// Polls until the runtime considers the socket readable.
    fn poll_read_ready(&self, context: &mut Context<'_>) -> Poll<io::Result<()>>;

    /// Polls until the runtime considers the socket writable.
    fn poll_write_ready(&self, context: &mut Context<'_>) -> Poll<io::Result<()>>;

    /// Makes the call if the runtime considers the socket ready. A call that would block clears the
    /// readiness.
    fn try_io<R>(&self, interest: Interest, call: impl FnOnce() -> io::Result<R>) -> io::Result<R>;

    /// Makes the call once it does not block. Cancel safe.
    fn async_io<R: Send>(
        &self,
        interest: Interest,
        call: impl FnMut() -> io::Result<R> + Send,
    ) -> impl Future<Output = io::Result<R>> + Send;

    /// One `recv`.
    fn receive(&self, buffer: &mut [u8], flags: RecvFlags) -> io::Result<usize> {
        let (_, received) = recv(self, buffer, flags)?;
        Ok(received)
    }

    /// One `send`.
    fn send(&self, bytes: &[u8]) -> io::Result<usize> {
        Ok(send(self, bytes, SendFlags::NOSIGNAL)?)
    }

    /// One `poll`, without a wait: whether the peer has closed or reset its side.
    fn poll_hangup(&self) -> io::Result<bool> {
        let at_once = Timespec {
            tv_sec: 0,
            tv_nsec: 0,
        };
        let mut watched = [PollFd::new(self, PollFlags::RDHUP)];
        poll(&mut watched, Some(&at_once))?;
        Ok(watched[0].revents().intersects(HANGUP))
    }

    /// One `shutdown` of the side that is written to. A socket whose peer has disconnected needs none.
    fn shutdown_write(&self) -> io::Result<()> {
        match SockRef::from(self).shutdown(Shutdown::Write) {
            Err(e) if e.kind() == io::ErrorKind::NotConnected => Ok(()),
            result => result,
        }
    }
}

/// Implements [`Socket`] by the methods that each of the runtime's streams has.
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
