//! Guards against rejecting requests while replicas are idle: where each router sees few requests, the
//! misses of a short outage must not make it reject requests that an idle replica could answer.
//! Three balancers share nine simulated replicas, of which three hang for three seconds.

mod attempts;
#[path = "../common/mod.rs"]
mod common;
mod replicas;
mod simulation;

use simulation::{Simulation, UnservedRequest};
use stilespan::interface::UnservedReason;

/// Seeds of the simulated sessions and balancers.
const SEEDS: std::ops::RangeInclusive<u64> = 1..=8;

/// Asserts that no request is unserved for this reason while no router uses some replica.
fn assert_served_while_a_replica_is_idle(reason: UnservedReason) {
    let of_seed = |seed| Simulation::new(seed).run();
    let has_idle_replica =
        |unserved: &UnservedRequest| unserved.reason == reason && unserved.idle_replicas > 0;
    let unserved: Vec<UnservedRequest> = SEEDS.flat_map(of_seed).filter(has_idle_replica).collect();
    assert!(
        unserved.is_empty(),
        "{} unserved while a replica was idle: {unserved:?}",
        unserved.len()
    );
}

#[test]
fn requests_are_not_shed_while_a_replica_is_idle() {
    assert_served_while_a_replica_is_idle(UnservedReason::Shed);
}

#[test]
fn requests_do_not_expire_while_a_replica_is_idle() {
    assert_served_while_a_replica_is_idle(UnservedReason::NoTimeLeft);
}

#[test]
fn migrations_to_idle_replicas_are_admitted() {
    assert_served_while_a_replica_is_idle(UnservedReason::ExpensiveMigration);
}
