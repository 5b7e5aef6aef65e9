//! The start of a call attempt: its first byte, or the core that takes it back, whichever is first. Pure: time comes
//! in as a value.

use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Instant;

/// Where the start stands. It leaves `ORDERED` once, one way or the other.
const ORDERED: u8 = 0;
const BEGUN: u8 = 1;
const TAKEN_BACK: u8 = 2;

/// Decides between an attempt's first byte and its being taken back. Guards against an attempt that is begun when it has
/// had its outcome already, and against one of which it is said that it never ran when its request has gone out.
#[derive(Debug)]
pub struct Start {
    stage: AtomicU8,
    by: Instant,
}

impl Start {
    /// An attempt that was ordered, and may begin until this instant.
    pub fn new(by: Instant) -> Start {
        Start { stage: AtomicU8::new(ORDERED), by }
    }

    /// The first byte is about to be written. Whether it may be: not once the attempt has been taken back, and not
    /// late. Guards against a send by a list, or within a repeat window, that was in force when the attempt was ordered
    /// and is not any more when its connection comes up.
    pub fn begin(&self, now: Instant) -> bool {
        now <= self.by && self.leave(BEGUN)
    }

    /// Takes the attempt back; whether it had not begun, and so never will.
    pub fn take_back(&self) -> bool {
        self.leave(TAKEN_BACK)
    }

    fn leave(&self, stage: u8) -> bool {
        self.stage.compare_exchange(ORDERED, stage, Ordering::AcqRel, Ordering::Acquire).is_ok()
    }
}

#[cfg(test)]
mod tests;
