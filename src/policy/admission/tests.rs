//! Tests which fraction of the arrivals admission control admits, and which requests it rejects.

use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::super::session_fairness::value_factor;
use super::AdmissionControl;
use crate::interface::{Class, Settings, Timestamp};

/// Number of arrivals in a run.
const ARRIVALS: usize = 2_000;
/// Allowed error of the number of admitted arrivals while the sampler learns the distribution of
/// the values: the number of arrivals that its running mean covers.
const LEARNING_ARRIVALS: f64 = 64.0;
/// Allowed error of the random draws, in standard deviations. One run in millions exceeds it.
const MAX_DEVIATIONS: f64 = 5.0;

/// Returns admission control that admits about this fraction. The fraction does not grow, because
/// the tests do not advance the time.
fn control(fraction: f64) -> AdmissionControl {
    let settings = Settings {
        classes: vec![Class::default()],
        ..Settings::default()
    };
    AdmissionControl {
        admitted_fraction: fraction,
        ..AdmissionControl::new(&settings, Timestamp::ZERO)
    }
}

/// Returns the maximum allowed error of the number of admitted arrivals in a run.
fn max_error(fraction: f64) -> f64 {
    let deviation = (ARRIVALS as f64 * fraction * (1.0 - fraction)).sqrt();
    LEARNING_ARRIVALS + MAX_DEVIATIONS * deviation
}

/// Returns for each arrival whether it is admitted.
fn admissions(fraction: f64, seed: u64, values: impl Iterator<Item = f64>) -> Vec<bool> {
    let mut control = control(fraction);
    let mut rng = StdRng::seed_from_u64(seed);
    let admits = |value| control.admits(value, rng.random(), Timestamp::ZERO);
    values.map(admits).collect()
}

fn count(admitted: &[bool]) -> f64 {
    admitted.iter().filter(|admitted| **admitted).count() as f64
}

proptest! {
    #[test]
    fn admitted_count_matches_fraction(
        fraction in 0.02..0.98_f64,
        drift in -0.03..0.03_f64,
        spread in 0.0..3.0_f64,
        classes in prop::collection::vec(0.05..5.0_f64, 1..4),
        seed: u64,
    ) {
        let mut rng = StdRng::seed_from_u64(seed);
        let values = (0..ARRIVALS).map(|n| {
            let weight = classes[rng.random_range(0..classes.len())];
            let log_cost = spread * rng.random::<f64>() + drift * n as f64;
            weight / log_cost.exp()
        });
        let admitted = count(&admissions(fraction, !seed, values.collect::<Vec<_>>().into_iter()));
        let expected = fraction * ARRIVALS as f64;
        prop_assert!(
            (admitted - expected).abs() <= max_error(fraction),
            "{admitted} admitted, expected {expected}"
        );
    }
}

/// Guards against comparing values that were estimated at different times: when the estimated cost
/// of equal requests drifted slightly, they were rejected until all requests were admitted again.
#[test]
fn drifting_estimates_keep_admitted_fraction() {
    for drift in [-1e-3, -1e-5, 1e-5, 1e-3] {
        let values = (0..ARRIVALS).map(|n| 1.0 / (1.024 + drift * n as f64).max(0.1));
        let admitted = count(&admissions(0.9, 7, values));
        let expected = 0.9 * ARRIVALS as f64;
        assert!(
            (admitted - expected).abs() <= max_error(0.9),
            "drift {drift}: {admitted} admitted, expected {expected}"
        );
    }
}

/// Guards against rejecting requests strictly by value: while few requests are rejected, a rare
/// request of low value must not be rejected every time.
#[test]
fn lowest_value_is_not_always_rejected() {
    let values = (0..ARRIVALS).map(|n| if n % 20 == 0 { 0.1 } else { 1.0 });
    let admitted = admissions(0.95, 7, values);
    let rare: Vec<bool> = admitted.iter().copied().step_by(20).collect();
    let admitted_fraction = count(&rare) / rare.len() as f64;
    assert!(
        admitted_fraction > 0.1,
        "admitted fraction of low-value requests: {admitted_fraction}"
    );
}

/// A migration that costs far more than other requests is rejected under overload. While all
/// requests are admitted, it is admitted after a few consecutive rejections.
#[test]
fn expensive_migration_is_rejected_under_overload() {
    for (fraction, rejections, is_admitted) in [(1.0, 6, true), (0.5, 0, false), (0.5, 6, false)] {
        let mut control = control(fraction);
        for _ in 0..64 {
            control.admits(1.0, 0.5, Timestamp::ZERO);
        }
        let value = 0.1 * value_factor(rejections, fraction);
        assert_eq!(
            control.still_admits(value, 0.5),
            is_admitted,
            "fraction {fraction}"
        );
    }
}

/// Guards against rejecting all requests of a session because its prompts cost more than those of
/// all other sessions.
#[test]
fn rejected_session_is_eventually_admitted() {
    let fraction = 0.8;
    let mut control = control(fraction);
    let mut rng = StdRng::seed_from_u64(7);
    let (mut consecutive, mut longest) = (0, 0);
    for n in 0..ARRIVALS {
        let is_costly = n % 20 == 0;
        let value = if is_costly {
            value_factor(consecutive, fraction) / 6.0
        } else {
            1.0
        };
        let admitted = control.admits(value, rng.random(), Timestamp::ZERO);
        if is_costly {
            consecutive = if admitted { 0 } else { consecutive + 1 };
            longest = longest.max(consecutive);
        }
    }
    assert!(longest < 12, "{longest} consecutive rejections");
}

/// Guards against a collapse of the admitted fraction by misses that shedding does not end: while
/// faults fail a quarter of the requests, far more than a few requests must still be admitted.
#[test]
fn faults_do_not_collapse_admitted_fraction() {
    let mut control = control(1.0);
    let mut lowest: f64 = 1.0;
    for n in 0..600_u64 {
        let missed = if n % 4 == 0 { 1.0 } else { 0.0 };
        control.record_outcome(missed, Timestamp::from_millis(100 * n));
        lowest = lowest.min(control.admitted_fraction);
    }
    assert!(lowest > 0.2, "lowest admitted fraction: {lowest}");
}
