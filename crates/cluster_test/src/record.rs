//! The record of a run, as the fake servers and the clients observed it.

use serde::Serialize;

use crate::scenario::ScheduledStep;

/// One run of a scenario. Times are milliseconds since the run's start.
#[derive(Clone, Debug, Default, Serialize)]
pub struct RunRecord {
    /// The scenario's name.
    pub scenario: String,
    /// The seed of the schedule.
    pub seed: u64,
    /// How long clients waited for the first token.
    pub client_timeout_ms: u64,
    /// The actions on links, processes and servers.
    pub schedule: Vec<ScheduledStep>,
    /// The clients' requests, ordered by the time at which they were sent.
    pub requests: Vec<RequestRecord>,
    /// The attempts that reached model servers, ordered by the time at which they were received.
    pub attempts: Vec<AttemptRecord>,
    /// The drains that discovery reported to routers.
    pub drain_notifications: Vec<DrainNotification>,
    /// Number of attempts that began while another attempt of the same request was running.
    pub overlapping_attempts: usize,
    /// Indexes of the routers that exited without being killed.
    pub crashed_routers: Vec<usize>,
}

/// A client's request.
#[derive(Clone, Debug, Serialize, PartialEq, Eq)]
pub struct RequestRecord {
    /// The request's trace id.
    pub trace_id: String,
    /// Index of the router that it was sent to.
    pub router: usize,
    /// When it was sent.
    pub sent_at_ms: u64,
    /// How it ended.
    pub outcome: RequestOutcome,
    /// Time from sending the request to the response's head, or to the request's end if no response
    /// arrived.
    pub elapsed_ms: u64,
}

/// How a client's request ended.
#[derive(Clone, Copy, Debug, Serialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum RequestOutcome {
    /// A complete stream was received.
    Completed,
    /// The router rejected the request (429 or 503): a retry is harmless.
    Rejected,
    /// The router answered with another error.
    Failed,
    /// The connection ended before the response, or before the end of a response that is no stream.
    ConnectionLost,
    /// The stream of a response with status 200 ended early.
    StreamBroken,
    /// No response arrived within the client's timeout plus a grace period.
    TimedOut,
}

/// An attempt, as a model server observed it.
#[derive(Clone, Debug, Serialize, PartialEq, Eq)]
pub struct AttemptRecord {
    /// The request's trace id.
    pub trace_id: String,
    /// Index of the router that sent it.
    pub router: usize,
    /// Index of the server.
    pub server: usize,
    /// When the server had received the complete request.
    pub received_at_ms: u64,
}

/// A server's drain that discovery sent to a router.
#[derive(Clone, Copy, Debug, Serialize, PartialEq, Eq)]
pub struct DrainNotification {
    /// Index of the router.
    pub router: usize,
    /// The revision of the endpoint list that first lists the server as draining.
    pub revision: u64,
    /// Index of the draining server.
    pub server: usize,
    /// When it was sent.
    pub sent_at_ms: u64,
}
