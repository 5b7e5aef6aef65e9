//! The two clocks by which budgets are counted.

use crate::interface::Timestamp;

/// Both clocks as they were read at one instant. Calendar periods follow the wall clock, which may
/// be stepped; token buckets are refilled by the monotonic one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockReading {
    /// The clock that is never stepped.
    pub monotonic: Timestamp,
    /// Unix time by the machine's clock.
    pub wall: Timestamp,
}

/// A reading at which both clocks agree: none has been stepped.
impl From<Timestamp> for ClockReading {
    fn from(time: Timestamp) -> ClockReading {
        ClockReading {
            monotonic: time,
            wall: time,
        }
    }
}
