//! Logs failed polls at levels that prevent a long outage from filling the log.

use tracing::{debug, warn};

use crate::net::discovery::client::PollError;

/// Logs a failed poll of the discovery service at `address`. `consecutive_failures` includes it.
pub(super) fn log_failed_poll(address: &str, error: &PollError, consecutive_failures: u32) {
    if is_logged_as_warning(consecutive_failures) {
        warn!(
            "discovery at {address}: poll failed: {error} ({consecutive_failures} consecutive failures)"
        );
    } else {
        debug!("discovery at {address}: poll failed: {error}");
    }
}

/// Whether a failure is logged as a warning: the 1st, 2nd, 4th, 8th consecutive failure and so on.
/// If discovery pushes its list, an agent that refuses connections is polled every
/// [`PUSH_RETRY_DELAY`](super::PUSH_RETRY_DELAY), and its failures would otherwise fill the log.
fn is_logged_as_warning(consecutive_failures: u32) -> bool {
    consecutive_failures.is_power_of_two()
}

#[cfg(test)]
mod tests;
