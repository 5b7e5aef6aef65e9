//! Waiting for a condition.
#![allow(dead_code)]

use std::time::Duration;

use tokio::time::{Instant, sleep};

/// Waits until a condition holds; for long, as a busy machine may be slow.
pub async fn until(what: &str, holds: impl Fn() -> bool) {
    let start = Instant::now();
    while !holds() {
        assert!(
            start.elapsed() < Duration::from_secs(20),
            "not in 20 s: {what}"
        );
        sleep(Duration::from_millis(5)).await;
    }
}
