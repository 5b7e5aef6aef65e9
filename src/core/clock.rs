//! The process's clock and the machine's wall clock. This module takes the one reading of the wall
//! clock on which all times of the process are based. Other modules own timers and deadlines.

use std::sync::OnceLock;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::interface::Timestamp;

/// The process's clock: the Unix time at the first call of [`Clock::start`], advanced monotonically
/// from then on. Steps of the machine's wall clock do not change it.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    /// Unix time at `started_at`.
    unix_at_start: Duration,
    /// When the process first requested the clock.
    started_at: Instant,
    /// Reads the machine's wall clock.
    wall: fn() -> Duration,
}

/// One clock for all modules, so that their times can be compared.
static PROCESS_CLOCK: OnceLock<Clock> = OnceLock::new();

fn wall_clock() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}

impl Clock {
    /// The process's clock. The first call reads the wall clock.
    pub fn start() -> Clock {
        *PROCESS_CLOCK.get_or_init(|| Clock {
            unix_at_start: wall_clock(),
            started_at: Instant::now(),
            wall: wall_clock,
        })
    }

    /// Returns this clock with another source of wall time.
    #[cfg(test)]
    pub(crate) fn with_wall_clock(self, wall: fn() -> Duration) -> Clock {
        Clock { wall, ..self }
    }

    /// Converts an instant to the decision module's time.
    pub fn time_at(&self, instant: Instant) -> Timestamp {
        let since_start = instant.saturating_duration_since(self.started_at);
        let unix_time = self.unix_at_start + since_start;
        Timestamp::from_micros(unix_time.as_micros() as u64)
    }

    /// Converts the decision module's time to an instant.
    pub fn instant_at(&self, time: Timestamp) -> Instant {
        let unix_time = Duration::from_micros(time.as_micros());
        self.started_at + unix_time.saturating_sub(self.unix_at_start)
    }

    /// The current time of the machine's wall clock, including any steps. It is used for times that
    /// leave the process and for calendar dates.
    pub fn wall_time(&self) -> Timestamp {
        Timestamp::from_micros((self.wall)().as_micros() as u64)
    }
}
