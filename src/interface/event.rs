//! Events: the inputs that the decision module is notified of.

use std::sync::Arc;

use super::{EndpointListKind, LoadReport, ReplicaEntry, ReplicaId, RequestId, Span, Timestamp};

/// A request that arrived from a client.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Arrival {
    /// The id of the request, unique among the requests in flight.
    pub request: RequestId,
    /// The class, as an index into [`Settings::classes`](super::Settings::classes).
    pub class: u32,
    /// The tenant, as an index into [`Settings::quotas`](super::Settings::quotas).
    pub tenant: u32,
    /// The session that the request belongs to.
    pub session: Option<u64>,
    /// The prompt prefix that the request shares with other sessions.
    pub prefix: Option<u64>,
    /// Number of prompt tokens.
    pub prompt_tokens: u32,
    /// How many of the prompt tokens belong to the shared prefix.
    pub shared_prefix_tokens: u32,
    /// Maximum number of tokens in the answer.
    pub max_output_tokens: u32,
    /// The expected work, as time on a replica of weight 1; zero if the client states none.
    pub expected_work: Span,
    /// When the client stops waiting for the answer.
    pub expires_at: Timestamp,
    /// Whether the client marked the request as a retry.
    pub is_retry: bool,
    /// Whether the client sent the request again because its stream broke.
    pub resumed: bool,
    /// The requested model; 0 means any model.
    pub model: u32,
    /// Number of attempts already made for this request under earlier ids, for other models. They
    /// count toward [`Settings::max_attempts`](super::Settings::max_attempts).
    pub prior_attempts: u32,
}

/// How an attempt or a health check ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The replica answered.
    Completed,
    /// The replica answered with an error; the attempt may have run.
    Error,
    /// The replica rejected the attempt unread; the attempt never ran.
    Rejected,
    /// No answer arrived within the timeout; the attempt may have run.
    Timeout,
    /// No connection could be made; the attempt never ran.
    ConnectFailed,
    /// The connection broke; the attempt may have run.
    ConnectionReset,
    /// The router cancelled the attempt; the attempt may have run.
    Cancelled,
    /// The router ended the attempt before sending it; the attempt never ran.
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

    /// Whether the outcome says anything about the replica's state.
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
    /// How the attempt ended.
    pub outcome: Outcome,
    /// Time since the attempt's start.
    pub elapsed: Span,
    /// Prompt tokens that the replica found in its prefix cache, if it reported them.
    pub cached_tokens: Option<u32>,
    /// Whether the request has its final answer or its client has disconnected.
    pub request_complete: bool,
    /// The replica's load, if it reported one.
    pub load_report: Option<LoadReport>,
}

/// The end of a health check.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HealthCheckEnded {
    /// The replica.
    pub replica: ReplicaId,
    /// How the check ended.
    pub outcome: Outcome,
    /// Time since the check's start.
    pub elapsed: Span,
    /// The replica's load, if it reported one.
    pub load_report: Option<LoadReport>,
}

/// An event, which is passed to the decision module in the next step.
#[derive(Clone, Debug)]
pub enum Event {
    /// The endpoint list changed, or could not be fetched.
    EndpointsUpdated {
        /// Which part of the list the entries cover.
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
    /// The client disconnected and needs no answer.
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
        /// The number of the router that sent the message.
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
