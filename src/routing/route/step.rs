//! The steps of a route: submissions, how they end, and the end of the route.

use crate::interface::{Span, Timestamp};

/// A submission to the decision module.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Submission {
    /// The index of the model in the catalog.
    pub model: usize,
    /// The maximum number of output tokens.
    pub max_output_tokens: u32,
    /// The number of the request's call attempts that this submission must not use: those that
    /// earlier submissions made, and one that may be reserved for a later submission.
    pub unavailable_attempts: u32,
    /// When the submission ends if no first token has arrived.
    pub deadline: Timestamp,
}

/// How a submission ended without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SubmissionEnd {
    /// The number of call attempts that were made.
    pub attempts: u32,
    /// Whether an attempt was forwarded to a model server, where it may have run.
    pub forwarded: bool,
    /// After how long to retry, if a rejection gave a time.
    pub retry_after: Option<Span>,
    /// Whether the submission was rejected; otherwise it failed.
    pub rejected: bool,
}

/// The result of a route that makes no further submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RouteExhausted {
    /// Whether no submission failed, so that the client can safely retry.
    pub rejected: bool,
    /// The number of call attempts of all submissions.
    pub attempts: u32,
    /// After how long to retry, if rejections of submissions gave times: the shortest of them, as
    /// any model in the chain can serve the retry.
    pub retry_after: Option<Span>,
    /// Whether no model in the chain was available on a model server in service.
    pub no_host: bool,
}

/// The next step of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteStep {
    /// Make this submission to the decision module.
    Submit(Submission),
    /// Answer the client with an error.
    Exhausted(RouteExhausted),
}
