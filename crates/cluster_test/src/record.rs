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
    /// What was done to links, processes and servers.
    pub schedule: Vec<ScheduledStep>,
    /// The clients' requests, in the order of their time.
    pub requests: Vec<RequestRecord>,
    /// The attempts that reached model servers, in the order of their time.
    pub attempts: Vec<AttemptRecord>,
    /// The drains that discovery reported to routers.
    pub drain_notifications: Vec<DrainNotification>,
    /// Number of attempts that began while another attempt of the same request ran.
    pub overlapping_attempts: usize,
    /// Routers that exited without having been killed.
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
    /// Time to the response's head, or to the end where none came.
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
    /// The connection ended before the response or within it.
    ConnectionLost,
    /// No response came until well after the client's timeout.
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

/// A server's drain, as discovery wrote it to a router.
#[derive(Clone, Copy, Debug, Serialize, PartialEq, Eq)]
pub struct DrainNotification {
    /// Index of the router.
    pub router: usize,
    /// The endpoint list's revision.
    pub revision: u64,
    /// Index of the draining server.
    pub server: usize,
    /// When it was written.
    pub sent_at_ms: u64,
}
