//! Tests that the admitted fraction does not depend on the rate of requests: the same misses have
//! about the same effect at one request per second as at a thousand.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::super::AdmissionControl;
use crate::interface::{Class, Settings, Span, Timestamp};

/// A shortest objective of 0.7 s, as deployments with sparse traffic have it.
fn sparse_control() -> AdmissionControl {
    let class = Class {
        first_token_objective: Span::from_millis(700),
        ..Class::default()
    };
    let settings = Settings {
        classes: vec![class],
        ..Settings::default()
    };
    AdmissionControl::new(&settings, Timestamp::ZERO)
}

/// Arrivals at random times, one after the other.
struct Arrivals {
    rng: StdRng,
    now: f64,
    rate: f64,
}

impl Arrivals {
    fn new(rate: f64, seed: u64) -> Arrivals {
        Arrivals {
            rng: StdRng::seed_from_u64(seed),
            now: 0.0,
            rate,
        }
    }

    /// Advances to the next arrival and returns its time.
    fn next(&mut self) -> Timestamp {
        self.now -= self.rng.random::<f64>().max(f64::MIN_POSITIVE).ln() / self.rate;
        Timestamp::from_micros((self.now * 1e6) as u64)
    }
}

/// Returns the expected number of refusals among the arrivals of the 30 seconds after this number
/// of consecutive misses; all other outcomes are in time.
fn refusals_after_misses(misses: u32, rate: f64, seed: u64) -> f64 {
    let mut control = sparse_control();
    let mut arrivals = Arrivals::new(rate, seed);
    let mut left = misses;
    let mut refused = 0.0;
    while arrivals.now < 60.0 {
        let now = arrivals.next();
        let fraction = control.admitted_fraction(now);
        refused += 1.0 - fraction;
        if arrivals.rng.random::<f64>() < fraction {
            let is_missed = arrivals.now > 30.0 && left > 0;
            left -= u32::from(is_missed);
            control.record_outcome(f64::from(u8::from(is_missed)), now);
        }
    }
    refused
}

/// Guards against misses that cost a router of few requests most of its arrivals for many seconds:
/// at any rate, a miss may cost two refusals in the mean.
#[test]
fn misses_cost_few_refusals_at_any_rate() {
    const SEEDS: u64 = 20;
    for rate in [1.0, 3.0, 5.0, 10.0, 100.0, 1_000.0] {
        for misses in [1, 4, 9] {
            let total: f64 = (0..SEEDS)
                .map(|seed| refusals_after_misses(misses, rate, seed))
                .sum();
            let refused = total / SEEDS as f64;
            assert!(
                refused <= 2.0 * f64::from(misses),
                "{refused:.1} refusals after {misses} misses at {rate} requests per second"
            );
        }
    }
}

/// Returns the mean admitted fraction while this share of the admitted requests misses.
fn mean_fraction(miss_share: f64, rate: f64) -> f64 {
    let mut control = sparse_control();
    let mut arrivals = Arrivals::new(rate, 3);
    let (mut sum, mut count) = (0.0, 0.0);
    while arrivals.now < 300.0 || count < 300.0 {
        let now = arrivals.next();
        let fraction = control.admitted_fraction(now);
        sum += fraction;
        count += 1.0;
        if arrivals.rng.random::<f64>() < fraction {
            let is_missed = arrivals.rng.random::<f64>() < miss_share;
            control.record_outcome(f64::from(u8::from(is_missed)), now);
        }
    }
    sum / count
}

/// Guards against a router of few requests that sheds more than a busy one at the same share of
/// misses: its fraction is at most 0.1 lower.
#[test]
fn sparse_traffic_is_shed_no_more_than_dense() {
    for miss_share in [0.05, 0.1, 0.25, 0.5] {
        let dense = mean_fraction(miss_share, 1_000.0);
        for rate in [1.0, 3.0, 10.0, 100.0] {
            let sparse = mean_fraction(miss_share, rate);
            assert!(
                sparse >= dense - 0.1,
                "fraction {sparse:.2} at {rate} requests per second, {dense:.2} at 1,000, share of misses {miss_share}"
            );
        }
    }
}
