//! Limits the time that the thread spends on reading from clients, and on answers whose bytes are
//! always ready.
//!
//! All connections share one thread, and a peer can have bytes ready all the time. A message is
//! read in turns, between which other tasks run. Time that a message takes beyond `UNPACED_TIME`
//! comes out of a share of the thread's time that all such messages have together.

use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Maximum time for which a message is read without a break.
const MAX_TURN: Duration = Duration::from_micros(250);
/// Time for which a message is read before its turns are delayed. It is enough for an ordinary
/// request.
const UNPACED_TIME: Duration = Duration::from_millis(1);
/// Messages beyond [`UNPACED_TIME`] together get the thread's time divided by this number.
const SHARE_DIVISOR: u32 = 4;
/// Maximum time that is charged for a turn. A turn that takes longer includes time in which the
/// process was not scheduled, which is not charged.
const MAX_TURN_COST: Duration = Duration::from_millis(5);

/// When the next turn of a message that has used up its unpaced time may begin. All connections
/// share one schedule.
#[derive(Debug)]
pub struct ReadSchedule {
    next_turn: Mutex<Instant>,
}

impl ReadSchedule {
    /// Creates a schedule without reservations.
    pub fn new(now: Instant) -> ReadSchedule {
        ReadSchedule {
            next_turn: Mutex::new(now),
        }
    }

    /// Reserves `cost` times [`SHARE_DIVISOR`] after all earlier reservations, so that a turn of
    /// this cost stays within the share. Returns the end of the reserved time.
    fn reserve(&self, now: Instant, cost: Duration) -> Instant {
        let mut next_turn = self
            .next_turn
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *next_turn = now.max(*next_turn) + cost * SHARE_DIVISOR;
        *next_turn
    }
}

/// Lets other tasks run, as far as needed, before more of a message is read.
pub(in crate::net) async fn wait_for_turn(pacing: &mut ReadPacing, schedule: &ReadSchedule) {
    match pacing.next_turn(Instant::now(), schedule) {
        NextTurn::Now => {}
        NextTurn::Yield => tokio::task::yield_now().await,
        NextTurn::At(turn_at) => tokio::time::sleep_until(turn_at.into()).await,
    }
}

/// What a reader has to wait for before it reads more of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::net) enum NextTurn {
    /// Nothing: the current turn continues.
    Now,
    /// Other tasks that are ready run first.
    Yield,
    /// The next turn begins at this instant.
    At(Instant),
}

/// Tracks the time that reading one connection's messages takes.
#[derive(Debug, Default)]
pub(in crate::net) struct ReadPacing {
    /// Time charged for the completed turns of the current message.
    message_time: Duration,
    /// Time that the current turn has taken.
    turn_time: Duration,
    /// When the work on the bytes that were read last began; `None` once it is finished.
    resumed_at: Option<Instant>,
}

impl ReadPacing {
    /// Starts a new message.
    pub(in crate::net) fn begin_message(&mut self) {
        *self = ReadPacing::default();
    }

    /// Records that bytes are read at `now`.
    pub(in crate::net) fn resume(&mut self, now: Instant) {
        self.resumed_at = Some(now);
    }

    /// Records that the work on the bytes that were read last is finished.
    pub(in crate::net) fn pause(&mut self, now: Instant) {
        if let Some(resumed_at) = self.resumed_at.take() {
            self.turn_time += now.saturating_duration_since(resumed_at);
        }
    }

    /// Decides when more bytes may be read. The work on the bytes that were read last is finished.
    pub(in crate::net) fn next_turn(&mut self, now: Instant, schedule: &ReadSchedule) -> NextTurn {
        self.pause(now);
        if self.turn_time < MAX_TURN {
            return NextTurn::Now;
        }
        let cost = std::mem::take(&mut self.turn_time).min(MAX_TURN_COST);
        self.message_time += cost;
        if self.message_time <= UNPACED_TIME {
            return NextTurn::Yield;
        }
        NextTurn::At(schedule.reserve(now, cost))
    }
}

#[cfg(test)]
mod tests;
