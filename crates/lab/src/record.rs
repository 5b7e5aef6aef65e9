//! What a play came to, by the stand-ins' and the clients' own records.

use serde::Serialize;

use crate::scenario::Step;

/// A play. Times are milliseconds from the first request on.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Record {
    /// The scenario's name.
    pub scenario: String,
    /// The seed of its schedule.
    pub seed: u64,
    /// How long a client waited for the first token.
    pub patience_ms: u64,
    /// What was done to the links and the processes.
    pub schedule: Vec<Step>,
    /// What clients asked, and what they got.
    pub asked: Vec<Asked>,
    /// What model servers were sent.
    pub attempts: Vec<Attempted>,
    /// What discovery told.
    pub told: Vec<Told>,
    /// Attempts that began while another of the same request ran.
    pub overlaps: usize,
    /// Routers that ended without having been killed.
    pub crashed: Vec<usize>,
}

/// A client's request.
#[derive(Clone, Debug, Serialize, PartialEq, Eq)]
pub struct Asked {
    /// Its trace id.
    pub id: String,
    /// The router.
    pub router: usize,
    /// When it was sent.
    pub at_ms: u64,
    /// How it ended.
    pub end: End,
    /// How long it took to its first byte, or to its end without one.
    pub took_ms: u64,
}

/// How a client's request ended.
#[derive(Clone, Copy, Debug, Serialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum End {
    /// A whole stream.
    Answered,
    /// Refused, and a repeat is harmless.
    Refused,
    /// Failed.
    Failed,
    /// The connection ended, before an answer or within it.
    Broken,
    /// Nothing came until well after the client's patience.
    Silent,
}

/// A call attempt, as a model server saw it.
#[derive(Clone, Debug, Serialize, PartialEq, Eq)]
pub struct Attempted {
    /// The request's trace id.
    pub id: String,
    /// The router that sent it.
    pub router: usize,
    /// The server.
    pub server: usize,
    /// When it was here whole.
    pub at_ms: u64,
}

/// A change of the list, written to a router.
#[derive(Clone, Copy, Debug, Serialize, PartialEq, Eq)]
pub struct Told {
    /// The router.
    pub router: usize,
    /// The list's version.
    pub revision: u64,
    /// The server that it drains.
    pub server: usize,
    /// When.
    pub at_ms: u64,
}
