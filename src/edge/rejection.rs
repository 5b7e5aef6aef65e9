//! Rejected requests: the errors sent to clients, and the causes that front ends distinguish.

use std::time::Duration;

use crate::api::ApiError;
use crate::identity::AuthenticationError;
use crate::interface::Span;
use crate::routing::{RouteError, RouteExhausted};
use crate::spend::{BudgetExceeded, ClockReading};

/// The maximum number of characters of a client's text that an error message repeats.
const MAX_ECHOED_CHARS: usize = 128;
const MICROS_PER_SECOND: u64 = 1_000_000;

/// The final result of a request that no model server answers.
#[derive(Clone, Debug)]
pub struct Rejection {
    /// The error for the client.
    pub error: ApiError,
    /// The number of attempts made at model servers.
    pub attempts: u32,
    /// The cause, as far as front ends distinguish causes.
    pub cause: RejectionCause,
    /// The time after which a retry may succeed, if known.
    pub retry_after: Option<Duration>,
}

/// The cause of a rejection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectionCause {
    /// A budget is exhausted and has capacity for the request again after `refill_in`.
    BudgetExhausted {
        /// The time until the budget has capacity for the request.
        refill_in: Duration,
    },
    /// The request needs more tokens than the budget's full limit, so it can never be answered.
    LargerThanBudget,
    /// Any other cause, described by the error.
    Other,
}

impl From<ApiError> for Rejection {
    fn from(error: ApiError) -> Rejection {
        Rejection {
            error,
            attempts: 0,
            cause: RejectionCause::Other,
            retry_after: None,
        }
    }
}

impl Rejection {
    /// The rejection of a request that exceeds a budget before any attempt.
    pub(super) fn budget_exceeded(exceeded: &BudgetExceeded, now: ClockReading) -> Rejection {
        let retry_after = exceeded.retry_after.map(Duration::from);
        let cause = match retry_after {
            Some(refill_in) => RejectionCause::BudgetExhausted { refill_in },
            None => RejectionCause::LargerThanBudget,
        };
        Rejection {
            error: budget_exceeded_error(exceeded, now),
            attempts: 0,
            cause,
            retry_after,
        }
    }

    /// The rejection of a request that no model of its fallback chain answered.
    pub(super) fn route_exhausted(exhausted: &RouteExhausted) -> Rejection {
        let retry_after = exhausted.retry_after.map(Duration::from);
        Rejection {
            error: route_exhausted_error(exhausted, retry_after),
            attempts: exhausted.attempts,
            cause: RejectionCause::Other,
            retry_after,
        }
    }
}

/// A span in whole seconds, rounded up so that clients do not retry too early.
pub(super) fn seconds_rounded_up(span: Span) -> u64 {
    span.as_micros().div_ceil(MICROS_PER_SECOND)
}

fn route_exhausted_error(exhausted: &RouteExhausted, retry_after: Option<Duration>) -> ApiError {
    if exhausted.no_host {
        let message =
            "no server has the model or one of its fallbacks now; trying again is harmless";
        ApiError::new(503, None, message)
            .code("model_unavailable")
            .retry_in(retry_after)
    } else if exhausted.rejected {
        let message = "refused: no server could answer in time; trying again is harmless";
        ApiError::new(503, None, message)
            .code("overloaded")
            .retry_in(retry_after)
    } else {
        ApiError::new(502, None, "failed: an attempt may have run").code("upstream_failed")
    }
}

fn budget_exceeded_error(exceeded: &BudgetExceeded, now: ClockReading) -> ApiError {
    let BudgetExceeded { node, budget, .. } = exceeded;
    let message = match exceeded.retry_after {
        Some(_) => format!("the budget {budget:?} of {node} is used up"),
        None => format!("the request is larger than the whole budget {budget:?} of {node}"),
    };
    let error = ApiError::new(429, None, message).code("budget_exhausted");
    // the state of the root's budget would reveal the usage of other tenants
    let error = if exceeded.depth > 0 {
        with_rate_limit_headers(error, exceeded, now)
    } else {
        error
    };
    error.retry_in(exceeded.retry_after.map(Duration::from))
}

/// Adds the budget's state as the header fields of draft-ietf-httpapi-ratelimit-headers.
fn with_rate_limit_headers(
    error: ApiError,
    exceeded: &BudgetExceeded,
    now: ClockReading,
) -> ApiError {
    let BudgetExceeded { budget, status, .. } = exceeded;
    let quota = status.limit.tokens_rounded_down();
    let window = seconds_rounded_up(status.window);
    let available = status
        .limit
        .saturating_sub(status.used)
        .saturating_sub(exceeded.reserved);
    let remaining = available.tokens_rounded_down();
    let reset = seconds_rounded_up(status.refills_at - now.wall);
    error
        .with(
            "RateLimit-Policy",
            format!("\"{budget}\";q={quota};w={window};qu=\"tokens\""),
        )
        .with("RateLimit", format!("\"{budget}\";r={remaining};t={reset}"))
}

/// The error for a request with a missing or invalid key.
pub(super) fn authentication_error(error: AuthenticationError) -> ApiError {
    let (message, code) = match error {
        AuthenticationError::Missing => (
            "no API key was given: Authorization: Bearer KEY",
            "missing_api_key",
        ),
        AuthenticationError::Unknown => ("the API key is not valid", "invalid_api_key"),
    };
    ApiError::new(401, None, message)
        .code(code)
        .with("WWW-Authenticate", "Bearer")
}

/// The error for a model that does not exist or that the caller may not use. The two cases have the
/// same error.
pub(super) fn model_not_found(name: &str) -> ApiError {
    let printable = name.chars().filter(|c| !c.is_control());
    let name: String = printable.take(MAX_ECHOED_CHARS).collect();
    let message = format!("the model {name:?} does not exist or you may not use it");
    ApiError::new(404, "model", message).code("model_not_found")
}

/// The error for a request that cannot be routed.
pub(super) fn route_error(error: RouteError, model: &str, prompt_tokens: u32) -> ApiError {
    match error {
        RouteError::ModelForbidden => model_not_found(model),
        RouteError::PromptTooLong { context_window } => {
            let message = format!(
                "the messages come to about {prompt_tokens} tokens; the model's window holds {context_window}"
            );
            ApiError::new(400, "messages", message).code("context_length_exceeded")
        }
    }
}
