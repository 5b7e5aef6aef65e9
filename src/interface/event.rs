//! Events: what the decision module is notified of.

use std::sync::Arc;

use super::{EndpointListKind, LoadReport, ReplicaEntry, ReplicaId, RequestId, Span, Timestamp};

/// A client's request as it arrives.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Arrival {
    /// Its id, unique among the requests in flight.
    pub request: RequestId,
    /// Its class, an index into the settings.
    pub class: u32,
    /// Its tenant, an index into the settings.
    pub tenant: u32,
    /// Its session.
    pub session: Option<u64>,
    /// The prompt prefix that it shares with other sessions.
    pub prefix: Option<u64>,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// How many of them belong to the shared prefix.
    pub shared_prefix_tokens: u32,
    /// The most tokens that the answer can have.
    pub max_output_tokens: u32,
    /// The work expected of it, as time on a replica of weight 1; zero where the client states
    /// none.
    pub expected_work: Span,
    /// When the client stops waiting for it.
    pub expires_at: Timestamp,
    /// The client marked it as a retry.
    pub is_retry: bool,
    /// The client sends it again because its stream broke.
    pub resumed: bool,
    /// The requested model; 0: any.
    pub model: u32,
    /// Attempts that were made under earlier ids, for other models; they count toward
    /// [`Settings::max_attempts`](super::Settings::max_attempts).
    pub prior_attempts: u32,
}

/// How an attempt or a health check ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Answered.
    Completed,
    /// The replica answered with an error; it may have run.
    Error,
    /// The replica rejected it unread; it never ran.
    Rejected,
    /// No answer within the timeout; it may have run.
    Timeout,
    /// No connection could be made; it never ran.
    ConnectFailed,
    /// The connection broke; it may have run.
    ConnectionReset,
    /// Cancelled by the router; it may have run.
    Cancelled,
    /// Ended by the router before it was sent; it never ran.
    NeverSent,
}

impl Outcome {
    /// Whether the outcome proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(
            self,
            Outcome::Rejected | Outcome::ConnectFailed | Outcome::NeverSent
        )
    }

    /// Whether the outcome is evidence of the state of the replica.
    pub fn concerns_replica(self) -> bool {
        !matches!(self, Outcome::Cancelled | Outcome::NeverSent)
    }

    /// Whether the outcome counts as a fault of the replica.
    pub fn is_fault(self) -> bool {
        self.concerns_replica() && self != Outcome::Completed
    }
}

/// The end of an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptEnded {
    /// The request.
    pub request: RequestId,
    /// The attempt's number within the request, from 0.
    pub attempt: u32,
    /// How it ended.
    pub outcome: Outcome,
    /// Time since its start.
    pub elapsed: Span,
    /// Prompt tokens that the replica found in its prefix cache, where it reported them.
    pub cached_tokens: Option<u32>,
    /// The request has its final answer, or its client has disconnected.
    pub request_complete: bool,
    /// The replica's load, where it reported it.
    pub load_report: Option<LoadReport>,
}

/// The end of a health check.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HealthCheckEnded {
    /// The replica.
    pub replica: ReplicaId,
    /// How the check ended.
    pub outcome: Outcome,
    /// Time since its start.
    pub elapsed: Span,
    /// The replica's load, where it reported it.
    pub load_report: Option<LoadReport>,
}

/// An event, passed to the decision module with the next step.
#[derive(Clone, Debug)]
pub enum Event {
    /// The endpoint list changed, or could not be fetched.
    EndpointsUpdated {
        /// Which part of the list the entries are.
        kind: EndpointListKind,
        /// The entries.
        entries: Arc<[ReplicaEntry]>,
    },
    /// A request arrived.
    RequestReceived(Arrival),
    /// The first token of an attempt arrived.
    FirstToken {
        /// The request.
        request: RequestId,
        /// The attempt's number within the request, from 0.
        attempt: u32,
        /// Time since the attempt's start.
        elapsed: Span,
    },
    /// The client disconnected; it needs no answer.
    ClientDisconnected {
        /// The request.
        request: RequestId,
    },
    /// An attempt ended.
    AttemptEnded(AttemptEnded),
    /// A health check ended.
    HealthCheckEnded(HealthCheckEnded),
    /// Another router sent a message. No decision depends on it.
    PeerMessage {
        /// The sender's number.
        from: u32,
        /// The message.
        bytes: Arc<[u8]>,
    },
    /// A timer fired.
    TimerFired {
        /// The timer's id, as given in [`Action::SetTimer`](super::Action::SetTimer).
        timer_id: u64,
    },
}
