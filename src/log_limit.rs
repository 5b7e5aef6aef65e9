//! A rate limit for log lines: at most one line per second for a persistent failure. Each module
//! that logs such failures has its own limits.

use std::fmt;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// The minimum time between two lines: short enough to follow a failure, and long enough to keep
/// the log readable for people.
const LINE_INTERVAL: Duration = Duration::from_secs(1);

/// Decides which occurrences of a failure are logged.
#[derive(Debug, Default)]
pub struct LogLimit {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    last_line: Option<Instant>,
    omitted: u32,
}

/// The number of occurrences that were not logged since the previous line. Its text is appended to
/// a log line, and is empty if the number is 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Omitted(pub u32);

impl LogLimit {
    /// Creates a limit that admits the first occurrence.
    pub const fn new() -> LogLimit {
        LogLimit {
            state: Mutex::new(State {
                last_line: None,
                omitted: 0,
            }),
        }
    }

    /// Decides whether an occurrence at `now` is logged. Returns the number of occurrences omitted
    /// since the previous line if it is, or `None` if it isn't.
    pub fn admit(&self, now: Instant) -> Option<Omitted> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let is_early = state
            .last_line
            .is_some_and(|last| now.saturating_duration_since(last) < LINE_INTERVAL);
        if is_early {
            state.omitted = state.omitted.saturating_add(1);
            return None;
        }
        state.last_line = Some(now);
        Some(Omitted(std::mem::take(&mut state.omitted)))
    }
}

impl fmt::Display for Omitted {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            0 => Ok(()),
            omitted => write!(out, " ({omitted} more since the last line)"),
        }
    }
}

#[cfg(test)]
mod tests;
