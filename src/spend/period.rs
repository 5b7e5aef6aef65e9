//! Calendar periods in a time zone: hours, days and weeks by its clock, with its clock changes, and
//! the terms of schools.

use std::sync::Arc;

use jiff::civil::Date;
use jiff::tz::TimeZone;
use jiff::{ToSpan, ZonedDateTime};

use crate::interface::Timestamp;

/// The end of a period that has none.
const NEVER: Timestamp = Timestamp::from_micros(u64::MAX);
const MICROS_PER_SECOND: u64 = 1_000_000;
const SECONDS_PER_HOUR: u64 = 3_600;

/// The length of a period.
#[derive(Clone, Debug, PartialEq)]
pub enum PeriodLength {
    /// An hour of the clock.
    Hour,
    /// From midnight to midnight: 23 or 25 hours where the clock changes.
    Day,
    /// From Monday to Monday.
    Week,
    /// From one of these days, which are in ascending order, to the next. The period before the
    /// first has no start, and that after the last no end.
    Term(Arc<[Date]>),
}

/// A period that repeats in a time zone.
#[derive(Clone, Debug, PartialEq)]
pub struct Period {
    /// Its length.
    pub length: PeriodLength,
    /// The time zone whose clock it follows.
    pub zone: TimeZone,
}

/// One occurrence of a period.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeriodBounds {
    /// Its first instant.
    pub start: Timestamp,
    /// The first instant of the next one.
    pub end: Timestamp,
}

impl PeriodBounds {
    const UNBOUNDED: PeriodBounds = PeriodBounds {
        start: Timestamp::ZERO,
        end: NEVER,
    };

    /// Whether an instant lies in both.
    pub fn overlaps(&self, other: &PeriodBounds) -> bool {
        other.start < self.end && self.start < other.end
    }
}

impl Period {
    /// The occurrence that an instant lies in. It is unbounded where the calendar does not reach
    /// the instant.
    pub fn bounds(&self, instant: Timestamp) -> PeriodBounds {
        self.find_bounds(instant).unwrap_or(PeriodBounds::UNBOUNDED)
    }

    fn find_bounds(&self, instant: Timestamp) -> Option<PeriodBounds> {
        let micros = i64::try_from(instant.as_micros()).ok()?;
        let timestamp = jiff::Timestamp::from_microsecond(micros).ok()?;
        let local = timestamp.to_zoned_datetime(self.zone.clone());
        match &self.length {
            PeriodLength::Hour => Some(hour_bounds(instant, &local)),
            PeriodLength::Day => {
                let today = local.date();
                self.date_bounds(today, today.checked_add(1.day()).ok()?)
            }
            PeriodLength::Week => {
                let days_since_monday = local.date().weekday().to_monday_zero_offset();
                let monday = local.date().checked_sub(days_since_monday.days()).ok()?;
                self.date_bounds(monday, monday.checked_add(7.days()).ok()?)
            }
            PeriodLength::Term(first_days) => Some(self.term_bounds(instant, first_days)),
        }
    }

    fn date_bounds(&self, first_day: Date, next_first_day: Date) -> Option<PeriodBounds> {
        Some(PeriodBounds {
            start: self.start_of_day(first_day)?,
            end: self.start_of_day(next_first_day)?,
        })
    }

    fn term_bounds(&self, instant: Timestamp, first_days: &[Date]) -> PeriodBounds {
        let has_begun = |day: &Date| {
            self.start_of_day(*day)
                .is_some_and(|start| start <= instant)
        };
        let next = first_days.partition_point(has_begun);
        let start_of_term = |index: usize| {
            let day = first_days.get(index)?;
            self.start_of_day(*day)
        };
        let present = next.checked_sub(1);
        PeriodBounds {
            start: present.and_then(start_of_term).unwrap_or(Timestamp::ZERO),
            end: start_of_term(next).unwrap_or(NEVER),
        }
    }

    /// Midnight, or the first instant of a day whose midnight a clock change skips.
    fn start_of_day(&self, day: Date) -> Option<Timestamp> {
        let midnight = day.to_zoned_datetime(self.zone.clone()).ok()?;
        let micros = midnight.timestamp().as_microsecond();
        Some(Timestamp::from_micros(u64::try_from(micros).unwrap_or(0)))
    }
}

/// The bounds of an hour. They are counted in elapsed time from the present offset of the zone, so
/// that an hour that a clock change repeats or cuts is a period of its own.
fn hour_bounds(instant: Timestamp, local: &ZonedDateTime) -> PeriodBounds {
    const HOUR: u64 = SECONDS_PER_HOUR * MICROS_PER_SECOND;
    let offset_seconds = i64::from(local.offset().seconds());
    let past_full_hour = offset_seconds.rem_euclid(SECONDS_PER_HOUR as i64) as u64;
    let shift = past_full_hour * MICROS_PER_SECOND;
    let local_start = (instant.as_micros() + shift) / HOUR * HOUR;
    PeriodBounds {
        start: Timestamp::from_micros(local_start.saturating_sub(shift)),
        end: Timestamp::from_micros(local_start + HOUR - shift),
    }
}

#[cfg(test)]
mod tests;
