use jiff::tz::TimeZone;
use proptest::prelude::*;

use super::*;
use crate::spend::PeriodLength;

const MINUTE: u64 = 60_000_000;
const HOUR: u64 = 60 * MINUTE;
const START: u64 = 400_000 * HOUR;

fn at(monotonic: u64, wall: u64) -> ClockReading {
    ClockReading {
        monotonic: Timestamp::from_micros(monotonic),
        wall: Timestamp::from_micros(START + wall),
    }
}

fn hourly() -> Gauge {
    let period = Period {
        length: PeriodLength::Hour,
        zone: TimeZone::UTC,
    };
    Gauge::new(
        &BudgetLimit::PerPeriod {
            amount: 100,
            period,
        },
        1,
        at(0, 0),
    )
}

/// Uses up what the period has left at this moment; how much that was.
fn use_up(gauge: &mut Gauge, now: ClockReading) -> MicroTokens {
    gauge.advance(now);
    let reading = gauge.status(now);
    let left = reading.limit - reading.spent;
    gauge.charge(left, 0, 0);
    left
}

#[test]
fn periods_follow_the_stepped_clock() {
    let mut gauge = hourly();
    assert_eq!(use_up(&mut gauge, at(0, 30 * MINUTE)), 100);
    // an hour ahead: the next hour has begun
    assert_eq!(use_up(&mut gauge, at(MINUTE, 91 * MINUTE)), 100);
    // and back: neither hour is given again, and the wait is until the later one ends
    assert_eq!(use_up(&mut gauge, at(2 * MINUTE, 32 * MINUTE)), 0);
    assert_eq!(
        gauge.room(0, 1, at(2 * MINUTE, 32 * MINUTE)),
        Err(Short::Until(Span::from_micros(88 * MINUTE)))
    );
    assert_eq!(use_up(&mut gauge, at(40 * MINUTE, 70 * MINUTE)), 0);
    // the hour after it comes as it would have
    assert_eq!(use_up(&mut gauge, at(90 * MINUTE, 120 * MINUTE)), 100);
}

#[test]
fn drips_refill_in_real_time() {
    let mut gauge = Gauge::new(
        &BudgetLimit::TokenBucket {
            amount: 100,
            refill_time: Span::from_micros(HOUR),
        },
        1,
        at(0, 0),
    );
    assert_eq!(use_up(&mut gauge, at(0, 0)), 100);
    // the clock is stepped by an hour either way, and half an hour passes
    assert_eq!(use_up(&mut gauge, at(1, HOUR + 1)), 0);
    assert_eq!(use_up(&mut gauge, at(30 * MINUTE, 0)), 50);
    // full again by the wall clock as it reads now
    assert_eq!(
        gauge.status(at(30 * MINUTE, 0)).refills_at,
        Timestamp::from_micros(START + HOUR)
    );
}

proptest! {
    /// Whichever way the clock is stepped: an hour is given once at the most, and each that the
    /// clock comes to for the first time is given then, unless a later one was before.
    #[test]
    fn no_period_is_given_twice(
        steps in prop::collection::vec((0..2 * HOUR, -3 * HOUR as i64..3 * HOUR as i64), 0..60),
    ) {
        let mut gauge = hourly();
        let (mut real, mut shift, mut latest) = (0u64, 0i64, 0u64);
        prop_assert_eq!(use_up(&mut gauge, at(0, 0)), 100);
        for (passed, step) in steps {
            real += passed;
            shift += step;
            let wall = real.saturating_add_signed(shift);
            let begins = wall / HOUR > latest;
            latest = latest.max(wall / HOUR);
            prop_assert_eq!(use_up(&mut gauge, at(real, wall)), if begins { 100 } else { 0 });
        }
    }
}
