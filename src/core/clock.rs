//! The machine's clock as the module reads it.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::interface::Time;

/// The machine's clock as the module reads it: Unix time that never runs backwards.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    unix: Duration,
    zero: Instant,
}

impl Clock {
    /// Reads the system's clock once; later readings go by the monotonic one.
    pub fn start() -> Clock {
        Clock { unix: SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default(), zero: Instant::now() }
    }

    /// An instant as the module's time.
    pub fn at(&self, instant: Instant) -> Time {
        Time((self.unix + instant.saturating_duration_since(self.zero)).as_micros() as u64)
    }

    /// The module's time as an instant.
    pub fn instant(&self, time: Time) -> Instant {
        self.zero + Duration::from_micros(time.0).saturating_sub(self.unix)
    }
}
