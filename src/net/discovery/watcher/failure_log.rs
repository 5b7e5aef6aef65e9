//! Logs failed polls at a level that keeps a long outage from filling the log.

use tracing::{debug, warn};

use crate::net::discovery::client::PollError;

/// Logs a failed poll of the discovery at `address`, the last of so many failures in a row.
pub(super) fn log_failed_poll(address: &str, error: &PollError, consecutive_failures: u32) {
    if is_warned_of(consecutive_failures) {
        warn!("discovery at {address}: {error} ({consecutive_failures} polls in a row failed)");
    } else {
        debug!("discovery at {address}: {error}");
    }
}

/// Whether a failure is logged as a warning: the 1st, 2nd, 4th, 8th in a row and so on. Where
/// discovery pushes its list, an agent that refuses connections is polled every
/// [`PUSH_RETRY_DELAY`](super::PUSH_RETRY_DELAY) and would fill the log otherwise.
fn is_warned_of(consecutive_failures: u32) -> bool {
    consecutive_failures.is_power_of_two()
}

#[cfg(test)]
mod tests;
