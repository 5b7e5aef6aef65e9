//! Guards against refusing requests beside idle replicas: where each router sees few requests, the
//! misses of a short outage must not make it refuse requests that an idle replica could answer.
//! Three balancers share nine simulated replicas, of which three hang for three seconds.

mod attempts;
#[path = "../common/mod.rs"]
mod common;
mod replicas;
mod simulation;

use simulation::{Refusal, Simulation};
use stilespan::interface::UnservedReason;

/// Seeds of the simulated sessions and balancers.
const SEEDS: std::ops::RangeInclusive<u64> = 1..=8;

/// Asserts that no request is refused for this reason beside a replica that no router uses.
fn assert_no_refusal_beside_idle_replica(reason: UnservedReason) {
    let of_seed = |seed| Simulation::new(seed).run();
    let is_beside_idle = |refusal: &Refusal| refusal.reason == reason && refusal.idle_replicas > 0;
    let refusals: Vec<Refusal> = SEEDS.flat_map(of_seed).filter(is_beside_idle).collect();
    assert!(
        refusals.is_empty(),
        "{} refusals beside idle replicas: {refusals:?}",
        refusals.len()
    );
}

#[test]
fn requests_are_not_shed_beside_idle_replicas() {
    assert_no_refusal_beside_idle_replica(UnservedReason::Shed);
}

#[test]
fn requests_do_not_expire_in_queue_beside_idle_replicas() {
    assert_no_refusal_beside_idle_replica(UnservedReason::NoTimeLeft);
}

#[test]
fn migrations_to_idle_replicas_are_not_refused() {
    assert_no_refusal_beside_idle_replica(UnservedReason::ExpensiveMigration);
}
