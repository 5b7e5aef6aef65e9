//! Time in the decision module, in whole microseconds. Times are passed in as values, so that equal
//! inputs give equal decisions.
//!
//! `std::time::Instant` can't be created from a number, which replays and the simulator need.
//! `std::time::Duration` counts nanoseconds, so products with a factor would be rounded to a
//! different precision.

use std::ops::{Add, Sub};
use std::time::Duration;

const MICROS_PER_SECOND: u64 = 1_000_000;
const MICROS_PER_MILLISECOND: u64 = 1_000;

/// A reading of the router's clock, in microseconds since an arbitrary start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Timestamp(u64);

/// A length of time, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Span(u64);

impl Span {
    /// The empty span.
    pub const ZERO: Span = Span(0);
    /// The maximum span; about 142 years, so that sums cannot overflow.
    pub const MAX: Span = Span(u64::MAX >> 12);

    /// A span of whole microseconds.
    pub const fn from_micros(micros: u64) -> Span {
        Span(micros)
    }

    /// A span of whole milliseconds; saturates.
    pub const fn from_millis(millis: u64) -> Span {
        Span(millis.saturating_mul(MICROS_PER_MILLISECOND))
    }

    /// A span of whole seconds; saturates.
    pub const fn from_secs(seconds: u64) -> Span {
        Span(seconds.saturating_mul(MICROS_PER_SECOND))
    }

    /// A span of seconds, rounded to microseconds; zero unless `seconds` is a positive number, and
    /// at most [`Span::MAX`].
    pub fn from_secs_f64(seconds: f64) -> Span {
        let micros = seconds * MICROS_PER_SECOND as f64;
        Span(micros.round().clamp(0.0, Span::MAX.0 as f64) as u64)
    }

    /// The value in whole microseconds.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Whether the span is empty.
    pub const fn is_zero(self) -> bool {
        self.0 == 0
    }

    /// The value in seconds.
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / MICROS_PER_SECOND as f64
    }
}

impl Timestamp {
    /// The start of the clock. For an optional timestamp in the endpoint list, it means "long ago".
    pub const ZERO: Timestamp = Timestamp(0);

    /// A reading in microseconds.
    pub const fn from_micros(micros: u64) -> Timestamp {
        Timestamp(micros)
    }

    /// A reading in milliseconds; saturates.
    pub const fn from_millis(millis: u64) -> Timestamp {
        Timestamp(millis.saturating_mul(MICROS_PER_MILLISECOND))
    }

    /// A reading in seconds; saturates.
    pub const fn from_secs(seconds: u64) -> Timestamp {
        Timestamp(seconds.saturating_mul(MICROS_PER_SECOND))
    }

    /// The value in whole microseconds.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Whether the timestamp is the start of the clock.
    pub const fn is_zero(self) -> bool {
        self.0 == 0
    }

    /// The value in seconds.
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / MICROS_PER_SECOND as f64
    }
}

impl Add<Span> for Timestamp {
    type Output = Timestamp;

    /// The timestamp `span` later; saturates.
    fn add(self, span: Span) -> Timestamp {
        Timestamp(self.0.saturating_add(span.0))
    }
}

impl Sub<Timestamp> for Timestamp {
    type Output = Span;

    /// The time since `earlier`; zero if `earlier` is in the future.
    fn sub(self, earlier: Timestamp) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }
}

impl Sub<Span> for Timestamp {
    type Output = Timestamp;

    /// The timestamp `span` earlier; saturates at [`Timestamp::ZERO`].
    fn sub(self, span: Span) -> Timestamp {
        Timestamp(self.0.saturating_sub(span.0))
    }
}

impl From<Span> for Duration {
    fn from(span: Span) -> Duration {
        Duration::from_micros(span.0)
    }
}

impl From<Duration> for Span {
    /// Truncates to whole microseconds; saturates.
    fn from(duration: Duration) -> Span {
        Span(u64::try_from(duration.as_micros()).unwrap_or(u64::MAX))
    }
}
