//! How long clients' connections are waited for: limits of one connection, and the schedules of a
//! graceful shutdown and of a drain.
//!
//! The platform's protocol sets the times behind them: new connections come for 0.2 to 0.4 s after
//! SIGTERM, and a request that comes later than 0.7 s after it may be unanswered at SIGKILL.
//! `docs/design/connections.md` lists the steps in their order.

use std::time::Duration;

/// How long a listener waits for its clients. Each listener has its own.
#[derive(Clone, Copy, Debug)]
pub struct ClientTimeouts {
    /// A connection on which no request begins to arrive is closed after this.
    pub idle: Duration,
    /// A request must have arrived completely within this from its first byte; a connection's first
    /// request within this from when the connection was opened.
    pub request: Duration,
}

/// A connection is given up when a client accepts no bytes of its answer for this long.
pub(super) const WRITE_TIMEOUT: Duration = Duration::from_secs(20);

/// Connections are accepted for this long after the shutdown signal, as the platform still opens
/// some for up to 0.4 s.
pub(super) const ACCEPT_PERIOD_AFTER_SHUTDOWN: Duration = Duration::from_millis(450);

/// A request that has not arrived completely this long after the shutdown signal is rejected: there
/// may be no time left to answer one that comes 0.7 s after it. 0.1 s is a margin, and the signal may
/// have come [`MAX_SIGNAL_DELAY`] before it was observed.
pub const REQUEST_CUTOFF_AFTER_SHUTDOWN: Duration =
    Duration::from_millis(600).saturating_sub(MAX_SIGNAL_DELAY);

/// Nothing that is read later than this after the shutdown signal is served. Later than
/// [`REQUEST_CUTOFF_AFTER_SHUTDOWN`], so that a request that was complete by then can still be
/// read; but a process that was not scheduled across the cutoff may read what came much later.
pub(super) const READ_CUTOFF_AFTER_SHUTDOWN: Duration =
    Duration::from_millis(650).saturating_sub(MAX_SIGNAL_DELAY);

/// How long the operating system may leave this process unscheduled at any time. An assumption: the
/// shutdown signal is taken to have come at most this long before it was observed.
pub(super) const MAX_SCHEDULING_DELAY: Duration = Duration::from_millis(150);

/// A signal is observed at most this long after it came, by a process that runs.
pub const MAX_SIGNAL_DELAY: Duration = Duration::from_millis(20);

/// A drained router closes its idle connections this long after the drain began. The platform's
/// front polls `/_health` and may send clients until it has seen the change.
pub(super) const IDLE_CLOSE_AFTER_DRAIN: Duration = Duration::from_millis(500);

/// A drained router rejects requests that have not arrived completely this long after the drain
/// began, so that those accepted before are answered by the time it must be empty.
pub(super) const REQUEST_CUTOFF_AFTER_DRAIN: Duration = Duration::from_millis(1800);

/// How long a lingering close waits for the client to close its side.
pub(super) const LINGERING_CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// How much longer a lingering close waits if unread bytes are left. Closing resets the connection
/// then, and a slow reader would lose its last answer.
pub(super) const LINGERING_CLOSE_EXTENSION: Duration = Duration::from_secs(4);

/// Data may have been written so long before it arrived by the system's account: a busy machine
/// delivers late, and a segment that was dropped comes again after 200 ms.
pub(super) const ARRIVAL_MARGIN: Duration = Duration::from_millis(400);

/// A request of this size fits into the system's buffer of any connection, so that all of it arrives
/// whether or not this process runs.
pub(super) const MAX_BUFFERED_REQUEST_BYTES: usize = 16 << 10;

/// A request that waits for memory is rejected so long before its deadline: its client is to have
/// the answer by then.
pub(super) const ANSWER_MARGIN: Duration = Duration::from_millis(3);

/// How long a lingering close of an evicted connection waits, whose descriptor is needed.
pub(super) const EVICTED_CLOSE_TIMEOUT: Duration = Duration::from_millis(50);

/// Requests that a client may write ahead in a row, each before it has the answer to the one before,
/// and have served at once.
pub(super) const MAX_PIPELINED_BURST: u32 = 16;

/// How long the router waits before each further request that was written ahead. A client that
/// writes ahead all the time gets 100 answers a second, and takes little time from others.
pub(super) const PIPELINING_DELAY: Duration = Duration::from_millis(10);

/// How often a connection with unread bytes is checked for its client's close. Well below 0.1 s: an
/// attempt must not begin so long after its client has disconnected.
pub(super) const DISCONNECT_CHECK_INTERVAL: Duration = Duration::from_millis(20);
