use jiff::tz::TimeZone;
use proptest::prelude::*;

use super::*;
use crate::spend::{Period, PeriodLength};

const MINUTE: u64 = 60_000_000;
const HOUR: u64 = 60 * MINUTE;
const START: u64 = 400_000 * HOUR;

fn at(monotonic: u64, wall: u64) -> ClockReading {
    ClockReading {
        monotonic: Timestamp::from_micros(monotonic),
        wall: Timestamp::from_micros(START + wall),
    }
}

fn hourly() -> BudgetUsage {
    let period = Period {
        length: PeriodLength::Hour,
        zone: TimeZone::UTC,
    };
    BudgetUsage::new(
        &BudgetLimit::PerPeriod {
            amount: MicroTokens::new(100),
            period,
        },
        1,
        at(0, 0),
    )
}

/// Spends all that is available at this moment, and returns how much that was.
fn spend_all(usage: &mut BudgetUsage, now: ClockReading) -> u64 {
    usage.advance(now);
    let status = usage.status(now);
    let available = status.limit - status.used;
    let used = UsedAmount {
        reserved: available,
        excess: MicroTokens::ZERO,
    };
    usage.charge(used, MicroTokens::ZERO);
    available.as_u64()
}

#[test]
fn periods_follow_the_stepped_clock() {
    let mut usage = hourly();
    assert_eq!(spend_all(&mut usage, at(0, 30 * MINUTE)), 100);
    // stepped an hour ahead: the next hour has begun
    assert_eq!(spend_all(&mut usage, at(MINUTE, 91 * MINUTE)), 100);
    // and stepped back: neither hour begins again, and the wait is until the later one ends
    assert_eq!(spend_all(&mut usage, at(2 * MINUTE, 32 * MINUTE)), 0);
    assert_eq!(
        usage.check_available(
            MicroTokens::new(1),
            MicroTokens::ZERO,
            at(2 * MINUTE, 32 * MINUTE)
        ),
        Err(Insufficient::RetryAfter(Span::from_micros(88 * MINUTE)))
    );
    assert_eq!(spend_all(&mut usage, at(40 * MINUTE, 70 * MINUTE)), 0);
    // the hour after it begins as it would have
    assert_eq!(spend_all(&mut usage, at(90 * MINUTE, 120 * MINUTE)), 100);
}

#[test]
fn buckets_refill_in_real_time() {
    let mut usage = BudgetUsage::new(
        &BudgetLimit::TokenBucket {
            amount: MicroTokens::new(100),
            refill_time: Span::from_micros(HOUR),
        },
        1,
        at(0, 0),
    );
    assert_eq!(spend_all(&mut usage, at(0, 0)), 100);
    // the clock is stepped by an hour either way, and half an hour passes
    assert_eq!(spend_all(&mut usage, at(1, HOUR + 1)), 0);
    assert_eq!(spend_all(&mut usage, at(30 * MINUTE, 0)), 50);
    // full again by the wall clock as it reads now
    assert_eq!(
        usage.status(at(30 * MINUTE, 0)).refills_at,
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
        let mut usage = hourly();
        let (mut monotonic, mut shift, mut latest_hour) = (0u64, 0i64, 0u64);
        prop_assert_eq!(spend_all(&mut usage, at(0, 0)), 100);
        for (passed, step) in steps {
            monotonic += passed;
            shift += step;
            let wall = monotonic.saturating_add_signed(shift);
            let begins = wall / HOUR > latest_hour;
            latest_hour = latest_hour.max(wall / HOUR);
            prop_assert_eq!(spend_all(&mut usage, at(monotonic, wall)), if begins { 100 } else { 0 });
        }
    }
}
