//! The two clocks that budgets go by.

use crate::interface::Time;

/// Both clocks as they read at one moment. Calendar periods go by the wall clock, which may be
/// stepped; refills are spans of real time and go by the monotonic one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockReading {
    /// A clock that is never stepped.
    pub monotonic: Time,
    /// Unix time, as the machine's clock has it.
    pub wall: Time,
}

/// A moment at which no clock has been stepped.
impl From<Time> for ClockReading {
    fn from(time: Time) -> ClockReading {
        ClockReading {
            monotonic: time,
            wall: time,
        }
    }
}
