//! The two clocks that budgets go by.

use crate::interface::Timestamp;

/// Both clocks as they read at one moment. Calendar periods go by the wall clock, which may be
/// stepped; refills are spans of real time and go by the monotonic one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockReading {
    /// A clock that is never stepped.
    pub monotonic: Timestamp,
    /// Unix time, as the machine's clock has it.
    pub wall: Timestamp,
}

/// A moment at which no clock has been stepped.
impl From<Timestamp> for ClockReading {
    fn from(time: Timestamp) -> ClockReading {
        ClockReading {
            monotonic: time,
            wall: time,
        }
    }
}
