//! Tests the probability that the other routers leave room at a replica.

use super::{MIN_BATCH_SIZE, poisson_below};

/// Allowed error of the rounded expected values.
const MAX_ERROR: f64 = 1e-3;

#[test]
fn probability_matches_poisson_distribution() {
    for (limit, mean, expected) in [(1, 0.0, 1.0), (4, 2.0, 0.857), (4, 4.0, 0.433)] {
        let probability = poisson_below(limit, mean);
        assert!((probability - expected).abs() < MAX_ERROR, "{probability}");
    }
}

#[test]
fn overloaded_fleet_leaves_no_room() {
    assert!(poisson_below(MIN_BATCH_SIZE, 16.0) < MAX_ERROR);
    assert!(poisson_below(MIN_BATCH_SIZE, 1e9) < MAX_ERROR);
}
