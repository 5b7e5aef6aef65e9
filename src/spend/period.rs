//! Periods in a place's own time: hours, days and weeks by its clock, clock changes too, and a
//! school's terms.

use std::sync::Arc;

use jiff::civil::Date;
use jiff::tz::TimeZone;
use jiff::{ToSpan, ZonedDateTime};

use crate::interface::Timestamp;

/// How long a period is.
#[derive(Clone, Debug, PartialEq)]
pub enum PeriodLength {
    /// An hour of the clock.
    Hour,
    /// From midnight to midnight: 23 or 25 hours where the clock changes.
    Day,
    /// From Monday to Monday.
    Week,
    /// From one of these days to the next, in order; before the first and after the last there is
    /// no end.
    Term(Arc<[Date]>),
}

/// A period in a time zone.
#[derive(Clone, Debug, PartialEq)]
pub struct Period {
    /// Its length.
    pub length: PeriodLength,
    /// Whose clock.
    pub zone: TimeZone,
}

/// The end of a period that has none.
const NEVER: Timestamp = Timestamp::from_micros(u64::MAX);

impl Period {
    /// The period that holds an instant: its first, and the first of the next. An instant that no
    /// calendar has lies in a period without an end.
    pub fn around(&self, at: Timestamp) -> (Timestamp, Timestamp) {
        self.find(at).unwrap_or((Timestamp::ZERO, NEVER))
    }

    fn find(&self, at: Timestamp) -> Option<(Timestamp, Timestamp)> {
        let instant =
            jiff::Timestamp::from_microsecond(i64::try_from(at.as_micros()).ok()?).ok()?;
        let here: ZonedDateTime = instant.to_zoned_datetime(self.zone.clone());
        let midnight = |date: Date| date.to_zoned_datetime(self.zone.clone()).ok().map(time);
        match &self.length {
            PeriodLength::Hour => {
                // guards against an hour of the clock that comes twice, or in part, at a clock
                // change: hours count in elapsed time from the offset's own hour
                let shift = i64::from(here.offset().seconds()).rem_euclid(3600) as u64 * 1_000_000;
                let hour = 3_600_000_000;
                let start = (at.as_micros() + shift) / hour * hour;
                Some((
                    Timestamp::from_micros(start.saturating_sub(shift)),
                    Timestamp::from_micros(start + hour - shift),
                ))
            }
            PeriodLength::Day => Some((
                midnight(here.date())?,
                midnight(here.date().checked_add(1.day()).ok()?)?,
            )),
            PeriodLength::Week => {
                let back = here.date().weekday().to_monday_zero_offset();
                let monday = here.date().checked_sub(back.days()).ok()?;
                Some((
                    midnight(monday)?,
                    midnight(monday.checked_add(7.days()).ok()?)?,
                ))
            }
            PeriodLength::Term(days) => {
                let next = days.partition_point(|d| midnight(*d).is_some_and(|m| m <= at));
                let start = next
                    .checked_sub(1)
                    .and_then(|k| midnight(days[k]))
                    .unwrap_or(Timestamp::ZERO);
                Some((
                    start,
                    days.get(next).and_then(|d| midnight(*d)).unwrap_or(NEVER),
                ))
            }
        }
    }
}

fn time(zoned: ZonedDateTime) -> Timestamp {
    Timestamp::from_micros(u64::try_from(zoned.timestamp().as_microsecond()).unwrap_or(0))
}

#[cfg(test)]
mod tests {
    use super::*;
    use rstest::rstest;

    fn at(text: &str) -> Timestamp {
        Timestamp::from_micros(text.parse::<jiff::Timestamp>().unwrap().as_microsecond() as u64)
    }

    #[rstest]
    #[case::a_plain_day(PeriodLength::Day, "2026-10-05T12:00:00-04:00", 24)]
    #[case::the_day_loses_an_hour(PeriodLength::Day, "2026-03-08T12:00:00-04:00", 23)]
    #[case::the_day_gains_an_hour(PeriodLength::Day, "2026-11-01T01:30:00-05:00", 25)]
    #[case::the_week_gains_an_hour(PeriodLength::Week, "2026-11-01T12:00:00-05:00", 169)]
    #[case::an_hour(PeriodLength::Hour, "2026-11-01T01:30:00-04:00", 1)]
    #[case::the_hour_that_comes_twice(PeriodLength::Hour, "2026-11-01T01:30:00-05:00", 1)]
    fn periods_go_by_the_places_clock(
        #[case] length: PeriodLength,
        #[case] now: &str,
        #[case] hours: u64,
    ) {
        let period = Period {
            length,
            zone: TimeZone::get("America/New_York").unwrap(),
        };
        let now = at(now);
        let (start, end) = period.around(now);
        assert!(start <= now && now < end);
        assert_eq!((end - start).as_micros(), hours * 3_600_000_000);
        // the periods join without a gap
        assert_eq!(period.around(end).0, end);
        assert_eq!(
            period
                .around(Timestamp::from_micros(start.as_micros() - 1))
                .1,
            start
        );
    }

    #[test]
    fn terms_begin_on_their_days() {
        let days = ["2026-08-24", "2027-01-11"].map(|d| d.parse().unwrap());
        let period = Period {
            length: PeriodLength::Term(days.into()),
            zone: TimeZone::get("Europe/Berlin").unwrap(),
        };
        let first = at("2026-08-24T00:00:00+02:00");
        let second = at("2027-01-11T00:00:00+01:00");
        assert_eq!(
            period.around(at("2026-08-01T00:00:00Z")),
            (Timestamp::ZERO, first)
        );
        assert_eq!(period.around(first), (first, second));
        assert_eq!(period.around(second), (second, NEVER));
    }

    /// A day whose midnight the clock skips begins at its first instant.
    #[test]
    fn a_midnight_that_the_clock_skips() {
        let period = Period {
            length: PeriodLength::Day,
            zone: TimeZone::get("America/Sao_Paulo").unwrap(),
        };
        let (start, end) = period.around(at("2018-11-04T12:00:00-02:00"));
        assert_eq!(start, at("2018-11-04T01:00:00-02:00"));
        assert_eq!((end - start).as_micros(), 23 * 3_600_000_000);
    }
}
