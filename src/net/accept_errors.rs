//! Retries of `accept` after an error. Connections that wait in the accept queue must not be lost,
//! and a lasting failure must neither use up processor time nor flood the log.
//!
//! This module keeps the backoff and the log limit of one accept loop. The listener runs the loop
//! and decides when it ends.

use std::io;
use std::time::{Duration, Instant};

use rustix::io::Errno;
use tracing::warn;

use crate::backoff::Backoff;
use crate::log_limit::LogLimit;

/// The first backoff delay. It is short because a connection may close at any time and so free a
/// descriptor.
const INITIAL_DELAY: Duration = Duration::from_millis(1);
/// The maximum backoff delay. It is short compared with the 0.45 s for which connections are still
/// accepted after the shutdown signal.
const MAX_DELAY: Duration = Duration::from_millis(20);
/// The maximum number of consecutive errors of single connections that are retried immediately.
/// More consecutive errors are treated as a lasting failure.
const MAX_IMMEDIATE_RETRIES: u32 = 16;

/// The kinds of `accept` errors, by their consequence for the connections in the accept queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AcceptErrorKind {
    /// A queued connection has failed, or a signal interrupted the call. The next call may succeed
    /// immediately.
    SingleConnection,
    /// The process or the machine lacks a resource. The call is retried with a backoff.
    ResourceShortage,
}

/// Classifies an `accept` error. Linux reports pending errors of a new connection as errors of
/// `accept`.
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

/// The backoff state and the log limit of one accept loop.
#[derive(Debug)]
pub struct AcceptErrors {
    /// The name of the listening socket in the log.
    socket: String,
    consecutive_errors: u32,
    backoff: Backoff,
    log: LogLimit,
}

impl AcceptErrors {
    /// Creates the state of a loop without errors. `socket` is the name of the listening socket in
    /// the log.
    pub fn new(socket: impl Into<String>) -> AcceptErrors {
        let backoff = Backoff::new(INITIAL_DELAY, MAX_DELAY);
        AcceptErrors {
            socket: socket.into(),
            consecutive_errors: 0,
            backoff,
            log: LogLimit::new(),
        }
    }

    /// Resets the backoff after a connection was accepted.
    pub fn reset(&mut self) {
        self.consecutive_errors = 0;
        self.backoff.reset();
    }

    /// Logs an error, and waits until the caller should retry `accept`.
    pub async fn back_off(&mut self, error: &io::Error) {
        if let Some(omitted) = self.log.admit(Instant::now()) {
            warn!(
                "{}: failed to accept a connection: {error}; retrying{omitted}",
                self.socket
            );
        }
        match self.delay(error) {
            Some(delay) => tokio::time::sleep(delay).await,
            None => tokio::task::yield_now().await,
        }
    }

    /// Counts an error and returns the delay before the retry. `None` if `accept` should be retried
    /// immediately.
    fn delay(&mut self, error: &io::Error) -> Option<Duration> {
        self.consecutive_errors = self.consecutive_errors.saturating_add(1);
        let immediate = accept_error_kind(error) == AcceptErrorKind::SingleConnection
            && self.consecutive_errors <= MAX_IMMEDIATE_RETRIES;
        (!immediate).then(|| self.backoff.next_delay())
    }
}

#[cfg(test)]
mod tests;
