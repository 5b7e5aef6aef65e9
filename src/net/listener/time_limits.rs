//! Time limits of clients' connections: the limits of a single connection, and the schedules of a
//! graceful shutdown and of a drain.
//!
//! They follow from the platform's protocol: new connections arrive for 0.2 to 0.4 s after SIGTERM,
//! and a request that arrives later than 0.7 s after SIGTERM may be unanswered at SIGKILL.
//! `docs/design/connections.md` lists the steps in their order.

use std::time::Duration;

/// How long a listener waits for its clients. Each listener has its own timeouts.
#[derive(Clone, Copy, Debug)]
pub struct ClientTimeouts {
    /// A connection on which no request begins to arrive is closed after this time.
    pub idle: Duration,
    /// Maximum time from a request's first byte until the request has arrived completely. For a
    /// connection's first request, the time counts from the opening of the connection.
    pub request: Duration,
}

/// A connection is dropped if its client does not accept the bytes of an answer within this time.
pub(super) const WRITE_TIMEOUT: Duration = Duration::from_secs(20);

/// A connection that may have waited this long for a permit is rejected, unless an evicted
/// connection is about to free one. An answer is lost if it comes over 0.5 s after the request's
/// time, which is 1.5 s for the most urgent requests.
pub(super) const MAX_PERMIT_WAIT: Duration = Duration::from_millis(1900);

/// How often a connection that waits for a permit checks whether another one is being evicted.
pub(super) const EVICTION_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// Connections are accepted for this long after the shutdown signal, because the platform still
/// opens new ones for up to 0.4 s.
pub(super) const ACCEPT_PERIOD_AFTER_SHUTDOWN: Duration = Duration::from_millis(450);

/// A request that has not arrived completely this long after the shutdown signal is rejected: there
/// may be no time left to answer a request that arrives 0.7 s after the signal. 0.1 s is a margin,
/// and the signal may have come [`MAX_SIGNAL_DELAY`] before it was observed.
pub const REQUEST_CUTOFF_AFTER_SHUTDOWN: Duration =
    Duration::from_millis(600).saturating_sub(MAX_SIGNAL_DELAY);

/// Bytes that are read later than this after the shutdown signal are not served. This cutoff is
/// later than [`REQUEST_CUTOFF_AFTER_SHUTDOWN`], so that a request that was complete by then can
/// still be read. It is needed because a process that was not scheduled across the first cutoff may
/// read bytes that arrived much later.
pub(super) const READ_CUTOFF_AFTER_SHUTDOWN: Duration =
    Duration::from_millis(650).saturating_sub(MAX_SIGNAL_DELAY);

/// Assumed maximum time for which the operating system leaves this process unscheduled. The
/// shutdown signal is taken to have come at most this long before it was observed.
pub(super) const MAX_SCHEDULING_DELAY: Duration = Duration::from_millis(150);

/// Maximum time between a signal and its observation by a process that is running.
pub const MAX_SIGNAL_DELAY: Duration = Duration::from_millis(20);

/// A drained router closes its idle connections this long after the drain began. The platform's
/// front polls `/_health` and may send clients until it has observed the change.
pub(super) const IDLE_CLOSE_AFTER_DRAIN: Duration = Duration::from_millis(500);

/// A drained router rejects requests that have not arrived completely this long after the drain
/// began, so that the requests accepted before are answered by the time the router must be empty.
pub(super) const REQUEST_CUTOFF_AFTER_DRAIN: Duration = Duration::from_millis(1800);

/// Maximum time for which a lingering close waits for the client to close its side.
pub(super) const LINGERING_CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Additional time for which a lingering close waits if there are unread bytes. Closing would then
/// reset the connection, and a slow reader would lose its last answer.
pub(super) const LINGERING_CLOSE_EXTENSION: Duration = Duration::from_secs(4);

/// Data may have been sent this long before the arrival time that the system reports: a busy
/// machine delivers late, and a segment that was dropped is sent again after 200 ms.
pub(super) const ARRIVAL_MARGIN: Duration = Duration::from_millis(400);

/// A request of at most this size fits into the system's buffer of any connection, so that all of
/// it arrives whether or not this process runs.
pub(super) const MAX_BUFFERED_REQUEST_BYTES: usize = 16 << 10;

/// A request that waits for memory or for its next read turn is rejected this long before its
/// deadline, so that its client has the answer by then.
pub(super) const ANSWER_MARGIN: Duration = Duration::from_millis(3);

/// Maximum time for which the lingering close of an evicted connection waits. Its descriptor is
/// needed for another connection.
pub(super) const EVICTED_CLOSE_TIMEOUT: Duration = Duration::from_millis(50);

/// Number of consecutive pipelined requests that are served without a delay. A request is pipelined
/// if the client sends it before it has the answer to the previous one.
pub(super) const MAX_PIPELINED_BURST: u32 = 16;

/// Delay before each further pipelined request. A client that pipelines all the time gets 100
/// answers per second, and takes little time from other clients.
pub(super) const PIPELINING_DELAY: Duration = Duration::from_millis(10);

/// How often a connection with unread bytes is checked for a close by its client. The interval is
/// well below 0.1 s, because an attempt must not begin 0.1 s after its client has disconnected.
pub(super) const DISCONNECT_CHECK_INTERVAL: Duration = Duration::from_millis(20);
