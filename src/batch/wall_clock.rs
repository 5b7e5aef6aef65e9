//! The wall clock, for the times in the API's objects.

use std::time::{SystemTime, UNIX_EPOCH};

/// The current time, in seconds of Unix time; zero before 1970.
pub fn unix_seconds() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_secs()
}
