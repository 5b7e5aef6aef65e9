//! The wall clock, used for the timestamps in API objects.

use std::time::{SystemTime, UNIX_EPOCH};

/// The current Unix time in seconds; zero if the clock is set before 1970.
pub fn unix_seconds() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_secs()
}
