//! Classes of requests: their latency objectives, priority weights and retry rules.

use super::Span;

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Idempotency {
    /// The request can safely run twice.
    #[default]
    Idempotent,
    /// The request has an idempotency key: replicas drop duplicates within the class's
    /// [`DeduplicationScope`] and window.
    Keyed,
    /// Running the request twice does harm.
    NonIdempotent,
}

/// The replicas among which duplicates of a keyed request are dropped.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All replicas.
    #[default]
    All,
    /// The replicas of one zone.
    Zone,
    /// The replicas of one cell.
    Cell,
}

/// A class of requests.
#[derive(Clone, Debug)]
pub struct Class {
    /// Latency objective for the first token (TTFT) of a request without a prompt.
    pub first_token_objective: Span,
    /// Added to the first-token objective for each 1,000 prompt tokens.
    pub first_token_objective_per_1000_prompt_tokens: Span,
    /// The multiple of the request's expected work that is added to the first-token objective, up
    /// to the deadline.
    pub first_token_objective_stretch: f64,
    /// Latency objective for the interval between two tokens (TPOT).
    pub token_interval_objective: Span,
    /// How long a client waits for a request, over all attempts.
    pub deadline: Span,
    /// Whether a request may run more than once.
    pub idempotency: Idempotency,
    /// The replicas among which duplicates of a keyed request are dropped.
    pub deduplication_scope: DeduplicationScope,
    /// How long duplicates are dropped, counted from the start of the first attempt that may have
    /// run.
    pub deduplication_window: Span,
    /// Priority weight: the value of an answer within the objective.
    pub priority_weight: f64,
    /// The fraction of the priority weight, from 0 to 1, that an answer after the objective keeps.
    pub late_weight: f64,
    /// Whether answers are streamed, so that their first token is reported.
    pub streaming: bool,
}

impl Default for Class {
    fn default() -> Class {
        Class {
            first_token_objective: Span::from_secs(1),
            first_token_objective_per_1000_prompt_tokens: Span::ZERO,
            first_token_objective_stretch: 0.0,
            token_interval_objective: Span::from_millis(80),
            deadline: Span::from_secs(5),
            idempotency: Idempotency::Idempotent,
            deduplication_scope: DeduplicationScope::All,
            deduplication_window: Span::from_secs(5),
            priority_weight: 1.0,
            late_weight: 0.0,
            streaming: true,
        }
    }
}
