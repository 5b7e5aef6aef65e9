//! What the peers of the routers observed in a run. Times are counted from the start of the run.

use std::time::Duration;

/// All that the peers observed.
#[derive(Clone, Debug, Default)]
pub struct Record {
    pub deliveries: Vec<Delivery>,
    pub attempts: Vec<Attempt>,
    pub outages: Vec<Outage>,
}

/// A complete request as a client wrote it once, and how it ended.
#[derive(Clone, Debug)]
pub struct Delivery {
    pub id: String,
    pub router: usize,
    /// When its last byte had been written.
    pub sent: Duration,
    /// When the previous answer on its connection was complete; it can't be answered before.
    pub turn: Duration,
    /// The time that it gave the router.
    pub timeout: Duration,
    /// When the first bytes of its answer arrived, or when it ended without any.
    pub began: Duration,
    pub ended: Duration,
    pub end: DeliveryEnd,
}

/// How a delivery ended, as its client saw it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DeliveryEnd {
    /// A complete stream, made for the request of this id.
    Answered { made_for: Option<String> },
    /// A stream that began and broke off.
    Truncated { made_for: Option<String> },
    /// An answer with another status.
    ErrorStatus(u16),
    /// The client disconnected: no answer is required.
    Disconnected,
    /// The connection ended without an answer, and the router had not read all of what was written.
    ClosedUnread,
    /// The connection ended without an answer, and the router had read all of it.
    ReadAndClosed,
    /// Nothing arrived for far longer than the client waits.
    TimedOut,
    /// Bytes arrived that are no answer.
    Malformed,
}

/// A request as a model server saw it.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub id: String,
    /// When its first byte arrived.
    pub began: Duration,
    /// The time that the router gave the server.
    pub forwarded_timeout: Duration,
    /// When the server had answered it, or the router had cancelled it.
    pub ended: Duration,
    pub end: AttemptEnd,
}

/// How an attempt ended, as its server saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// Answered completely.
    Complete,
    /// The server broke off within the stream.
    TruncatedByServer,
    /// Answered with an error, or broken off ahead of the stream.
    Failed,
    /// The router cancelled it.
    Cancelled,
}

/// A time in which a router's process was stopped or killed.
#[derive(Clone, Copy, Debug)]
pub struct Outage {
    pub router: usize,
    pub kind: OutageKind,
    pub from: Duration,
    pub until: Duration,
}

/// What was done to the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutageKind {
    /// SIGSTOP until SIGCONT.
    Stopped,
    /// SIGKILL until it was ready again.
    Killed,
}

impl Record {
    /// How long the router was stopped within this time.
    pub fn stopped(&self, router: usize, from: Duration, until: Duration) -> Duration {
        let stops = self
            .outages
            .iter()
            .filter(|o| o.router == router && o.kind == OutageKind::Stopped);
        stops
            .map(|o| o.until.min(until).saturating_sub(o.from.max(from)))
            .sum()
    }

    /// Whether the router was killed in this time.
    pub fn killed(&self, router: usize, from: Duration, until: Duration) -> bool {
        let mut kills = self
            .outages
            .iter()
            .filter(|o| o.router == router && o.kind == OutageKind::Killed);
        kills.any(|o| o.from <= until && o.until >= from)
    }
}
