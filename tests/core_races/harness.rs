//! The core of these tests.

use stilespan::interface::{Class, Settings};
use tokio::time::Duration;

use crate::common::running_core::{self, RunningCore};

/// Longer than any test: attempts wait for the test, not for a connection.
const ATTEMPT_START_TIMEOUT: Duration = Duration::from_secs(20);

/// Starts a core with so many endpoints and one class.
pub async fn start_core(endpoints: u64, class: Class) -> RunningCore {
    let settings = Settings {
        classes: vec![class],
        max_attempts: 3,
        cancellation: true,
        ..Settings::default()
    };
    running_core::start_core(settings, ATTEMPT_START_TIMEOUT, endpoints).await
}
