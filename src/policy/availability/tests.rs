//! Tests the probability that the other routers leave a slot of a replica free.

use super::{ASSUMED_SLOTS, poisson_below};

/// Allowed error of the rounded expected values.
const MAX_ERROR: f64 = 1e-3;
/// Allowed probability of a free slot at a replica that is sent far more requests than the assumed slots.
const MAX_ROOM: f64 = 1e-2;

#[test]
fn probability_matches_poisson_distribution() {
    for (limit, mean, expected) in [(1, 0.0, 1.0), (4, 2.0, 0.857), (4, 4.0, 0.433)] {
        let probability = poisson_below(limit, mean);
        assert!((probability - expected).abs() < MAX_ERROR, "{probability}");
    }
}

#[test]
fn overloaded_fleet_leaves_no_free_slot() {
    for mean in [16.0, 1e9] {
        assert!(poisson_below(ASSUMED_SLOTS, mean) < MAX_ROOM);
    }
    assert!(poisson_below(0, 0.0) < MAX_ROOM);
}
