//! Calendar periods in a time zone: hours, days, weeks and school terms. They follow the local time
//! of the zone, including daylight saving changes.

use std::sync::Arc;

use jiff::civil::Date;
use jiff::tz::TimeZone;
use jiff::{ToSpan, ZonedDateTime};

use crate::interface::Timestamp;

/// The end of a period that never ends.
const NO_END: Timestamp = Timestamp::from_micros(u64::MAX);
const MICROS_PER_SECOND: u64 = 1_000_000;
const SECONDS_PER_HOUR: u64 = 3_600;

/// The length of a period.
#[derive(Clone, Debug, PartialEq)]
pub enum PeriodLength {
    /// From one full hour of local time to the next.
    Hour,
    /// From midnight to midnight, which is 23 or 25 hours on the day of a daylight saving change.
    Day,
    /// From the midnight at which Monday begins to the next such midnight.
    Week,
    /// From one of these days to the next. The days are in ascending order. The period before the
    /// first day has no start, and the one that begins on the last day has no end.
    Term(Arc<[Date]>),
}

/// A recurring period in a time zone.
#[derive(Clone, Debug, PartialEq)]
pub struct Period {
    /// The length of the period.
    pub length: PeriodLength,
    /// The time zone whose local time the period follows.
    pub zone: TimeZone,
}

/// The start and the end of one occurrence of a period.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeriodBounds {
    /// The first instant of this occurrence.
    pub start: Timestamp,
    /// The first instant of the next occurrence.
    pub end: Timestamp,
}

impl PeriodBounds {
    const UNBOUNDED: PeriodBounds = PeriodBounds {
        start: Timestamp::ZERO,
        end: NO_END,
    };

    /// Whether the two occurrences have an instant in common.
    pub fn overlaps(&self, other: &PeriodBounds) -> bool {
        other.start < self.end && self.start < other.end
    }
}

impl Period {
    /// The occurrence that contains an instant. It is unbounded if the calendar cannot represent
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
        let current = next.checked_sub(1);
        PeriodBounds {
            start: current.and_then(start_of_term).unwrap_or(Timestamp::ZERO),
            end: start_of_term(next).unwrap_or(NO_END),
        }
    }

    /// Midnight at the start of a day, or the first instant of the day if a daylight saving change
    /// skips its midnight.
    fn start_of_day(&self, day: Date) -> Option<Timestamp> {
        let midnight = day.to_zoned_datetime(self.zone.clone()).ok()?;
        let micros = midnight.timestamp().as_microsecond();
        Some(Timestamp::from_micros(u64::try_from(micros).unwrap_or(0)))
    }
}

/// The bounds of the hour that contains an instant. They are computed from the zone's UTC offset at
/// that instant, so an hour that a daylight saving change repeats or shortens is a separate period.
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
