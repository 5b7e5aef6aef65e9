//! The errors with which the edge refuses a request.

use std::time::Duration;

use crate::api::ApiError;
use crate::spend::{BudgetExceeded, ClockReading, MICRO_TOKENS_PER_TOKEN};

/// The error for a key that is not valid, or is missing.
pub(super) fn bad_key(message: &str, code: &'static str) -> ApiError {
    ApiError::new(401, None, message)
        .code(code)
        .with("WWW-Authenticate", "Bearer")
}

/// The error for a model that is not there, or not for this caller: the two are not told apart.
pub fn no_model(name: &str) -> ApiError {
    let name: String = name.chars().filter(|c| !c.is_control()).take(128).collect();
    ApiError::new(
        404,
        "model",
        format!("the model {name:?} does not exist or you may not use it"),
    )
    .code("model_not_found")
}

/// The error for a budget that has no room.
pub fn exhausted(refusal: &BudgetExceeded, now: ClockReading) -> ApiError {
    let BudgetExceeded {
        node,
        budget,
        retry_after: retry_in,
        status: reading,
        reserved,
        depth,
    } = refusal;
    let message = match retry_in {
        Some(_) => format!("the budget {budget:?} of {node} is used up"),
        None => format!("the request is larger than the whole budget {budget:?} of {node}"),
    };
    let mut e = ApiError::new(429, None, message).code("budget_exhausted");
    // the root's figures tell of other schools
    if *depth > 0 {
        let window = reading.window.0.div_ceil(1_000_000);
        let left = reading
            .limit
            .saturating_sub(reading.spent)
            .saturating_sub(*reserved)
            / MICRO_TOKENS_PER_TOKEN;
        let reset = (reading.refills_at - now.wall).0.div_ceil(1_000_000);
        e = e
            .with(
                "RateLimit-Policy",
                format!(
                    "\"{budget}\";q={};w={window};qu=\"tokens\"",
                    reading.limit / MICRO_TOKENS_PER_TOKEN
                ),
            )
            .with("RateLimit", format!("\"{budget}\";r={left};t={reset}"));
    }
    e.retry_in(retry_in.map(|d| Duration::from_micros(d.0)))
}
