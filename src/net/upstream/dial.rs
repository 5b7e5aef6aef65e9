//! Connecting to a model server. A local failure, one of the router's own machine, does not mean
//! that the server is at fault, and nothing has been sent yet. Connecting is therefore retried with
//! a backoff after a local failure, which neither ends the call attempt nor counts against the
//! server.

use std::io;
use std::time::{Duration, Instant};

use rustix::io::Errno;
use tracing::warn;

use crate::backoff::Backoff;
use crate::log_limit::LogLimit;

/// The delay before the first retry.
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(1);
/// The maximum delay before a retry. It is short enough for several retries within the shortest
/// connect timeouts in use, and long enough that retries during a lasting shortage cost little.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(32);

/// Limits the rate of log lines about local failures, for all servers together.
static LOCAL_FAILURE_LOG: LogLimit = LogLimit::new();

/// Where the cause of a failure to connect is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectFailure {
    /// On this machine: it lacks ports, buffers, descriptors, memory or routes, or the call was
    /// interrupted.
    Local,
    /// At the server, or on the network path to it.
    Remote,
}

/// Classifies an error of `socket`, of `connect` or of registering the socket for events.
pub(super) fn connect_failure(error: &io::Error) -> ConnectFailure {
    match Errno::from_io_error(error) {
        Some(
            Errno::INTR
            | Errno::AGAIN
            | Errno::ADDRNOTAVAIL
            | Errno::ADDRINUSE
            | Errno::NETDOWN
            | Errno::NETUNREACH
            | Errno::NOBUFS
            | Errno::NOMEM
            | Errno::MFILE
            | Errno::NFILE
            | Errno::NOSPC,
        ) => ConnectFailure::Local,
        _ => ConnectFailure::Remote,
    }
}

/// Connects, and retries after local failures. The caller has to apply a timeout.
pub(super) async fn dial<C, F>(address: &str, mut connect: impl FnMut() -> F) -> io::Result<C>
where
    F: Future<Output = io::Result<C>>,
{
    let mut backoff = Backoff::new(FIRST_RETRY_DELAY, MAX_RETRY_DELAY);
    loop {
        let error = match connect().await {
            Err(e) if connect_failure(&e) == ConnectFailure::Local => e,
            result => return result,
        };
        if let Some(omitted) = LOCAL_FAILURE_LOG.admit(Instant::now()) {
            warn!(
                "{address}: failed to connect because of a local error: {error}; retrying{omitted}"
            );
        }
        tokio::time::sleep(backoff.next_delay()).await;
    }
}

#[cfg(test)]
mod tests;
