//! Detects that the process was suspended or got no processor time, from the time between two
//! wake-ups of the core. After such a stall, the process's copy of the endpoint list may be out of
//! date. The current time is a parameter, and the core's actor has the list refreshed.

use std::time::{Duration, Instant};

/// The time after which the core wakes up at the latest if nothing delays it.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);
/// How late a wake-up has to be to count as a stall. A shorter delay is not detected, and requests
/// may be sent to a drained server during it, so the threshold is well below the shortest drain
/// bound (500 ms). It is long enough that a busy machine is not mistaken for a suspended process.
const STALL_THRESHOLD: Duration = Duration::from_millis(200);
/// The maximum time for which nothing is sent after a stall while the core waits for the endpoint
/// list. A list call takes a few milliseconds, and clients wait for a second or more. If discovery
/// does not answer within this time, the list from before the stall is used again.
const MAX_SUSPENSION: Duration = Duration::from_millis(300);

/// Whether the process has stalled, and whether the endpoint list has been confirmed since.
#[derive(Debug)]
pub struct StallDetector {
    last_wakeup: Instant,
    sending_suspended_until: Option<Instant>,
}

impl StallDetector {
    /// Creates a detector for a core that wakes up now for the first time.
    pub fn new(now: Instant) -> StallDetector {
        StallDetector {
            last_wakeup: now,
            sending_suspended_until: None,
        }
    }

    /// Records a wake-up of the core. Returns the time since the previous wake-up if it counts as a
    /// stall; the endpoint list then has to be fetched.
    pub fn record_wakeup(&mut self, now: Instant) -> Option<Duration> {
        let since_last_wakeup = now.saturating_duration_since(self.last_wakeup);
        self.last_wakeup = now;
        let stall = (since_last_wakeup >= HEARTBEAT_INTERVAL + STALL_THRESHOLD)
            .then_some(since_last_wakeup);
        if stall.is_some() {
            self.sending_suspended_until = Some(now + MAX_SUSPENSION);
        }
        stall
    }

    /// Ends the suspension of sending, because the endpoint list was fetched again or the call
    /// failed.
    pub fn endpoints_confirmed(&mut self) {
        self.sending_suspended_until = None;
    }

    /// Whether nothing may be sent yet because the endpoint list is not confirmed.
    pub fn is_sending_suspended(&self, now: Instant) -> bool {
        self.sending_suspended_until
            .is_some_and(|until| now < until)
    }

    /// Returns when the core has to wake up next if nothing wakes it earlier.
    pub fn next_wakeup(&self) -> Instant {
        let heartbeat = self.last_wakeup + HEARTBEAT_INTERVAL;
        self.sending_suspended_until.map_or(heartbeat, |until| {
            until.max(self.last_wakeup).min(heartbeat)
        })
    }
}

#[cfg(test)]
mod tests;
