//! Detects when the process was not scheduled (a stall).
//!
//! Bytes that are read right after a stall may have arrived as early as its beginning. This module
//! reads no clock: callers pass the time in.

use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Time between two beats.
pub const INTERVAL: Duration = Duration::from_millis(50);
/// Minimum time without a beat that counts as a stall. It is two intervals, because a single beat
/// can be late by chance.
const STALL_THRESHOLD: Duration = Duration::from_millis(100);
/// Bytes that are read within this time after a stall may have arrived during the stall. It is one
/// interval, in which the tasks that became due during the stall run.
const STALL_AFTERMATH: Duration = Duration::from_millis(50);

/// Records the beats of the process and its last stall.
#[derive(Debug)]
pub struct Heartbeat {
    beats: Mutex<Beats>,
}

#[derive(Debug)]
struct Beats {
    last_beat: Instant,
    last_stall: Option<Stall>,
}

/// A time in which the process was not scheduled.
#[derive(Clone, Copy, Debug)]
struct Stall {
    started_at: Instant,
    ended_at: Instant,
}

impl Beats {
    /// The stall that ends now, or that ended less than [`STALL_AFTERMATH`] ago.
    fn stall_at(&self, now: Instant) -> Option<Stall> {
        if now.saturating_duration_since(self.last_beat) >= STALL_THRESHOLD {
            // bytes that arrived during a previous stall may still be unread
            let previous = self.recent_stall(self.last_beat);
            return Some(Stall {
                started_at: previous.map_or(self.last_beat, |stall| stall.started_at),
                ended_at: now,
            });
        }
        self.recent_stall(now)
    }

    /// The last stall, if it ended less than [`STALL_AFTERMATH`] before `at`.
    fn recent_stall(&self, at: Instant) -> Option<Stall> {
        self.last_stall
            .filter(|stall| at.saturating_duration_since(stall.ended_at) < STALL_AFTERMATH)
    }
}

impl Heartbeat {
    /// Creates a heartbeat whose first beat is at `now`.
    pub fn new(now: Instant) -> Heartbeat {
        Heartbeat {
            beats: Mutex::new(Beats {
                last_beat: now,
                last_stall: None,
            }),
        }
    }

    /// Records a beat: the process is running at `now`.
    pub fn beat(&self, now: Instant) {
        let mut beats = self.beats.lock().unwrap_or_else(PoisonError::into_inner);
        beats.last_stall = beats.stall_at(now);
        beats.last_beat = now;
    }

    /// The earliest instant at which bytes that are read now may have arrived.
    pub fn earliest_arrival(&self, now: Instant) -> Instant {
        let beats = self.beats.lock().unwrap_or_else(PoisonError::into_inner);
        beats.stall_at(now).map_or(now, |stall| stall.started_at)
    }
}

#[cfg(test)]
mod tests;
