//! Events: everything that the decision module is notified of.

use std::sync::Arc;

use super::{Entry, ListKind, ReplicaId, RequestId, Span, Timestamp};

/// A client's request.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Arrival {
    /// Its id.
    pub request: RequestId,
    /// Its class, an index into the settings.
    pub class: u32,
    /// Its tenant, an index into the settings.
    pub tenant: u32,
    /// Its session.
    pub session: Option<u64>,
    /// The prefix that it shares with other sessions.
    pub prefix: Option<u64>,
    /// Prompt tokens.
    pub prompt: u32,
    /// How many of them are the shared prefix.
    pub shared: u32,
    /// The most tokens that the answer can have.
    pub cap: u32,
    /// The work expected of it, where told, as time on a standard core.
    pub hint: Span,
    /// When the client gives this try up.
    pub valid_until: Timestamp,
    /// The client flagged it as a repeat.
    pub repeat: bool,
    /// It comes back after its stream broke.
    pub resumed: bool,
    /// The model asked for; 0: any.
    pub model: u32,
    /// Attempts that it had under earlier ids, for other models; they count toward the most
    /// allowed.
    pub spent: u32,
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// The replica answered with an error; may have run.
    Error,
    /// Turned away unseen; never ran.
    Full,
    /// No answer in time; may have run.
    Timeout,
    /// No connection; never ran.
    ConnectFailed,
    /// The connection broke; may have run.
    Reset,
    /// Called off; may have run.
    Cancelled,
    /// Never sent.
    Moot,
}

impl Outcome {
    /// It proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Full | Outcome::ConnectFailed | Outcome::Moot)
    }
}

/// Values of a load report, in the order of [`Settings::report`](super::Settings::report); a value
/// that was not sent is NaN.
pub type Report = [f32; 4];

/// What happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// News of the replicas.
    Members {
        /// What the entries are.
        kind: ListKind,
        /// The entries.
        entries: Arc<[Entry]>,
    },
    /// A request came in.
    Request(Arrival),
    /// The first token of an attempt came.
    First {
        /// The request.
        request: RequestId,
        /// The attempt's number, from 0.
        trial: u32,
        /// Time since the send.
        took: Span,
    },
    /// The client has gone; nothing is owed any more.
    Gone {
        /// The request.
        request: RequestId,
    },
    /// An attempt ended.
    Ended {
        /// The request.
        request: RequestId,
        /// The attempt's number, from 0.
        trial: u32,
        /// How.
        outcome: Outcome,
        /// Time since the send.
        took: Span,
        /// Prompt tokens that were found kept, where told.
        kept: Option<u32>,
        /// The request is finished.
        closed: bool,
        /// The replica's load, where told.
        report: Option<Report>,
    },
    /// A probe ended.
    Probed {
        /// The replica.
        replica: ReplicaId,
        /// How.
        outcome: Outcome,
        /// Time since the probe.
        took: Span,
        /// The replica's load, where told.
        report: Option<Report>,
    },
    /// A peer's message. Nothing is decided on it.
    Peer {
        /// The sender's number.
        from: u32,
        /// What it said.
        bytes: Arc<[u8]>,
    },
    /// A timer is due.
    Timer {
        /// The number given with it.
        mark: u64,
    },
}
