//! The two clocks by which budgets are counted.

use crate::interface::Time;

/// Both clocks as they were read at one instant. Calendar periods follow the wall clock, which may
/// be stepped; token buckets are refilled by the monotonic one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockReading {
    /// The clock that is never stepped.
    pub monotonic: Time,
    /// Unix time by the machine's clock.
    pub wall: Time,
}

/// A reading at which both clocks agree: none has been stepped.
impl From<Time> for ClockReading {
    fn from(time: Time) -> ClockReading {
        ClockReading {
            monotonic: time,
            wall: time,
        }
    }
}
