//! The formulas of dispatch by slack budget: how long a replica is busy with the requests that it
//! was sent, and how many tokens it may be sent at once. All functions are pure.

use super::estimators::prefill_model::LinearModel;

/// Lower bound of the seconds per token by which a budget is divided; below any machine's prefill.
const MIN_SECONDS_PER_TOKEN: f64 = 1e-9;

/// Seconds until a replica is mature again after `prefill` seconds of prefill.
///
/// This is the prefill and the decode steps of `step` seconds in which the replica's streams catch
/// up with their objective of `token_interval` seconds between tokens. `None` if the steps are too
/// slow to catch up.
pub fn maturity_delay(prefill: f64, token_interval: f64, step: f64) -> Option<f64> {
    (token_interval > step).then(|| prefill + prefill / (token_interval - step) * step)
}

/// The maximum number of prompt tokens that a replica may be sent at once.
///
/// The maturity delay of these tokens, plus the prefill of `next_prefill` seconds of a request that
/// arrives at the end of the delay, stays within `objective` seconds.
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
