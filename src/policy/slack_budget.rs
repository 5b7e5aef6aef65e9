//! The arithmetic of dispatch by slack budget: how long a replica is busy with what it was sent,
//! and how much it may be sent at once. Pure functions of seconds and tokens.

use super::estimators::prefill_model::LinearModel;

/// The least seconds a token by which a budget is divided. Value: below any machine's prefill.
const MIN_SECONDS_PER_TOKEN: f64 = 1e-9;

/// Seconds until a replica is mature again after `prefill` seconds of prefill: those, and the
/// decode steps of `step` seconds in which its streams catch up, at an objective of
/// `token_interval` seconds between tokens. `None` where steps are too slow to catch up.
pub fn maturity_delay(prefill: f64, token_interval: f64, step: f64) -> Option<f64> {
    (token_interval > step).then(|| prefill + prefill / (token_interval - step) * step)
}

/// The largest number of tokens whose maturity delay, plus the `next_prefill` seconds of a request
/// that arrives right then, stays within `objective` seconds.
pub fn slack_budget(
    model: LinearModel,
    next_prefill: f64,
    objective: f64,
    token_interval: f64,
    step: f64,
) -> f64 {
    let prefill = (objective - next_prefill) * (token_interval - step) / token_interval;
    if token_interval > step && prefill > model.base_seconds {
        (prefill - model.base_seconds) / model.seconds_per_token.max(MIN_SECONDS_PER_TOKEN)
    } else {
        0.0
    }
}
