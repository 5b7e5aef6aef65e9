//! The two clocks by which budgets are reset and refilled.

use crate::interface::Timestamp;

/// The time of both clocks at one instant. Calendar periods follow the wall clock, which can be
/// stepped. Token buckets are refilled by the monotonic clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockReading {
    /// The time of the monotonic clock, which is never stepped.
    pub monotonic: Timestamp,
    /// The time of the machine's wall clock, as Unix time.
    pub wall: Timestamp,
}

/// A reading in which both clocks have the same time.
impl From<Timestamp> for ClockReading {
    fn from(time: Timestamp) -> ClockReading {
        ClockReading {
            monotonic: time,
            wall: time,
        }
    }
}
