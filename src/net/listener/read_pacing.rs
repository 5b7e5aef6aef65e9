//! Bounds the time that reading from clients takes from everyone else: all connections share one
//! thread, and a client may have bytes ready all the time.
//!
//! A message is read in turns, between which others run. What it takes beyond a short time comes
//! out of a share of the thread's time that all such messages have together. Pure except for its
//! lock: the time is passed in.

use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// The longest time for which a message is read at a stretch.
const MAX_TURN: Duration = Duration::from_micros(250);
/// The time for which a message is read without waiting for its share: enough for an ordinary
/// request.
const UNPACED_TIME: Duration = Duration::from_millis(1);
/// The part of the thread's time for all that takes longer, as a divisor.
const SHARE_DIVISOR: u32 = 4;
/// The most that a turn counts: time in which the process was not scheduled is nobody's.
const MAX_TURN_COST: Duration = Duration::from_millis(5);

/// When the next turn of a message may begin that has used up its unpaced time. All connections
/// share it.
#[derive(Debug)]
pub struct ReadSchedule {
    next_turn: Mutex<Instant>,
}

impl ReadSchedule {
    /// A schedule without reservations.
    pub fn new(now: Instant) -> ReadSchedule {
        ReadSchedule {
            next_turn: Mutex::new(now),
        }
    }

    /// Reserves the time behind all earlier reservations that makes up for a turn. Returns its end.
    fn reserve(&self, now: Instant, cost: Duration) -> Instant {
        let mut next_turn = self
            .next_turn
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *next_turn = now.max(*next_turn) + cost * SHARE_DIVISOR;
        *next_turn
    }
}

/// What has to happen before more of a message is read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum NextTurn {
    /// Nothing: the turn goes on.
    Now,
    /// Others run first.
    Yield,
    /// This time has to come.
    At(Instant),
}

/// The reading of one connection's messages.
#[derive(Debug, Default)]
pub(super) struct ReadPacing {
    /// The time that the current message has taken, up to the current turn.
    message: Duration,
    /// The time that the current turn has taken.
    turn: Duration,
    /// When the work on the bytes began that were read last.
    resumed_at: Option<Instant>,
}

impl ReadPacing {
    /// A new message begins.
    pub(super) fn begin_message(&mut self) {
        *self = ReadPacing::default();
    }

    /// Bytes are read now.
    pub(super) fn resume(&mut self, now: Instant) {
        self.resumed_at = Some(now);
    }

    /// The work on the bytes that were read last is done.
    pub(super) fn pause(&mut self, now: Instant) {
        if let Some(resumed_at) = self.resumed_at.take() {
            self.turn += now.saturating_duration_since(resumed_at);
        }
    }

    /// More bytes are wanted. The work on those that were read last is done.
    pub(super) fn next_turn(&mut self, now: Instant, schedule: &ReadSchedule) -> NextTurn {
        self.pause(now);
        if self.turn < MAX_TURN {
            return NextTurn::Now;
        }
        let cost = std::mem::take(&mut self.turn).min(MAX_TURN_COST);
        self.message += cost;
        if self.message <= UNPACED_TIME {
            return NextTurn::Yield;
        }
        NextTurn::At(schedule.reserve(now, cost))
    }
}

#[cfg(test)]
mod tests;
