//! The steps of a route: submissions, how they end, and the end of the route.

use crate::interface::{Span, Timestamp};

/// A submission to the decision module.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Submission {
    /// The index of the model in the catalog.
    pub model: usize,
    /// The most tokens of the answer.
    pub max_output_tokens: u32,
    /// The call attempts of the request that the submission cannot make: earlier submissions made
    /// them, or one is withheld for a later submission.
    pub unavailable_attempts: u32,
    /// When it ends unless a first token has come.
    pub deadline: Timestamp,
}

/// The end of a submission without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SubmissionEnd {
    /// The call attempts that were made.
    pub attempts: u32,
    /// Whether an attempt was forwarded to a server, where it may have run.
    pub forwarded: bool,
    /// After how long to retry, where a rejection said so.
    pub retry_after: Option<Span>,
    /// Whether it was rejected; else it failed.
    pub rejected: bool,
}

/// Why there is no further submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RouteExhausted {
    /// Whether no submission failed, so that the client can retry without harm.
    pub rejected: bool,
    /// The call attempts of all submissions.
    pub attempts: u32,
    /// After how long to retry, where a submission was told so: the shortest wait, as any model of
    /// the chain will do.
    pub retry_after: Option<Span>,
    /// Whether no model of the chain had a host.
    pub no_host: bool,
}

/// The next step of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteStep {
    /// Submit this to the decision module.
    Submit(Submission),
    /// Answer the client with an error.
    Exhausted(RouteExhausted),
}
