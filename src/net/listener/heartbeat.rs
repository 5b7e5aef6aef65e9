//! Notices when the process was not scheduled (a stall): what is read right after a stall may have
//! been in the system since its beginning.
//!
//! Pure except for its lock: the time is passed in.

use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Time between two beats.
pub const INTERVAL: Duration = Duration::from_millis(50);
/// Time without a beat that counts as a stall: two intervals, as one beat may be late by chance.
const STALL_THRESHOLD: Duration = Duration::from_millis(100);
/// What is read within this time after a stall may have arrived during it: one interval, in which
/// the tasks that were due during the stall run.
const STALL_AFTERMATH: Duration = Duration::from_millis(50);

/// The beats of a process.
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
    began: Instant,
    ended_at: Instant,
}

impl Beats {
    /// The stall that ends now, or ended recently.
    fn stall_at(&self, now: Instant) -> Option<Stall> {
        if now.saturating_duration_since(self.last_beat) >= STALL_THRESHOLD {
            return Some(Stall {
                began: self.last_beat,
                ended_at: now,
            });
        }
        self.last_stall
            .filter(|stall| now.saturating_duration_since(stall.ended_at) < STALL_AFTERMATH)
    }
}

impl Heartbeat {
    /// With its first beat.
    pub fn new(now: Instant) -> Heartbeat {
        Heartbeat {
            beats: Mutex::new(Beats {
                last_beat: now,
                last_stall: None,
            }),
        }
    }

    /// Records that the process runs.
    pub fn beat(&self, now: Instant) {
        let mut beats = self.beats.lock().unwrap_or_else(PoisonError::into_inner);
        beats.last_stall = beats.stall_at(now);
        beats.last_beat = now;
    }

    /// The earliest instant at which bytes that are read now may have arrived.
    pub fn earliest_arrival(&self, now: Instant) -> Instant {
        let beats = self.beats.lock().unwrap_or_else(PoisonError::into_inner);
        beats.stall_at(now).map_or(now, |stall| stall.began)
    }
}

#[cfg(test)]
mod tests;
