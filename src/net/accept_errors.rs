//! Retries of accept loops after an error: connections queued behind it must not be lost, and a
//! lasting failure must not cost processor time or flood the log.
//!
//! Owns the backoff and the log limit of one accept loop. The loop itself, and when it ends, belong
//! to its listener.

use std::io;
use std::time::{Duration, Instant};

use rustix::io::Errno;
use tracing::warn;

use crate::backoff::Backoff;
use crate::log_limit::LogLimit;

/// The first backoff delay: a connection may be closed, and its descriptor freed, at any time.
const INITIAL_DELAY: Duration = Duration::from_millis(1);
/// The longest backoff delay: short beside the 0.45 s for which connections are accepted after the
/// shutdown signal.
const MAX_DELAY: Duration = Duration::from_millis(20);
/// Errors of single connections in a row that are retried at once. More in a row are taken for a
/// lasting failure.
const MAX_IMMEDIATE_RETRIES: u32 = 16;

/// Kinds of errors of `accept`, by their meaning for the connections in the accept queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AcceptErrorKind {
    /// A queued connection has failed, or a signal interrupted the call: the next call may succeed
    /// at once.
    SingleConnection,
    /// The process or the machine lacks a resource: to be retried with backoff.
    ResourceShortage,
}

/// The kind of an error of `accept`. Linux reports the pending errors of a new connection as errors
/// of `accept`.
fn accept_error_kind(error: &io::Error) -> AcceptErrorKind {
    match Errno::from_io_error(error) {
        Some(
            Errno::INTR
            | Errno::CONNABORTED
            | Errno::CONNRESET
            | Errno::TIMEDOUT
            | Errno::PROTO
            | Errno::NOPROTOOPT
            | Errno::OPNOTSUPP
            | Errno::NETDOWN
            | Errno::NETUNREACH
            | Errno::HOSTDOWN
            | Errno::HOSTUNREACH
            | Errno::NONET
            | Errno::PERM,
        ) => AcceptErrorKind::SingleConnection,
        _ => AcceptErrorKind::ResourceShortage,
    }
}

/// The errors of one accept loop.
#[derive(Debug)]
pub struct AcceptErrors {
    /// Name of the listening socket, for the log.
    socket: String,
    consecutive_errors: u32,
    backoff: Backoff,
    log: LogLimit,
}

impl AcceptErrors {
    /// No errors so far. `socket` is the listening socket's name in the log.
    pub fn new(socket: impl Into<String>) -> AcceptErrors {
        let backoff = Backoff::new(INITIAL_DELAY, MAX_DELAY);
        AcceptErrors {
            socket: socket.into(),
            consecutive_errors: 0,
            backoff,
            log: LogLimit::new(),
        }
    }

    /// A connection was accepted.
    pub fn reset(&mut self) {
        self.consecutive_errors = 0;
        self.backoff.reset();
    }

    /// Logs an error, and waits until the call is to be retried.
    pub async fn back_off(&mut self, error: &io::Error) {
        if let Some(omitted) = self.log.admit(Instant::now()) {
            warn!("{}: accept: {error}{omitted}", self.socket);
        }
        match self.delay(error) {
            Some(delay) => tokio::time::sleep(delay).await,
            None => tokio::task::yield_now().await,
        }
    }

    /// The backoff delay after one more error; none if it is to be retried at once.
    fn delay(&mut self, error: &io::Error) -> Option<Duration> {
        self.consecutive_errors = self.consecutive_errors.saturating_add(1);
        let immediate = accept_error_kind(error) == AcceptErrorKind::SingleConnection
            && self.consecutive_errors <= MAX_IMMEDIATE_RETRIES;
        (!immediate).then(|| self.backoff.next_delay())
    }
}

#[cfg(test)]
mod tests;
