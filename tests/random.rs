//! Long random but legal sequences of events; the rules are asserted on every action.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use common::world::*;
use common::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rstest::rstest;
use stilespan::Balancer;
use stilespan::interface::*;

/// With outcomes once each, and with second ones of either kind after them.
#[rstest]
#[case::once(false)]
#[case::doubled(true)]
fn the_rules_hold_on_every_action(#[case] doubled: bool) {
    for seed in 0..30 {
        let mut rng = StdRng::seed_from_u64(seed);
        let set = odd_settings(&mut rng);
        let mut balancer = Balancer::new(set.clone(), seed, START);
        let (open, fleet, barred) = (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        let mut world = World {
            set,
            rng,
            now: START,
            open,
            fleet,
            barred,
            next: 1,
            doubled,
        };
        let mut timers = BTreeSet::new();
        for _ in 0..3_000 {
            let pause = world.rng.random_range(1_000..30_000);
            world.now = timers
                .first()
                .copied()
                .unwrap_or(Timestamp::from_micros(u64::MAX))
                .min(world.now + Span::from_micros(pause));
            timers.retain(|&t| t > world.now);
            let events = world.events();
            let mut actions = Vec::new();
            balancer.step(world.now, &events, &mut actions);
            for action in &actions {
                world.check(action);
                if let Action::SetTimer { at, .. } = action {
                    timers.insert(*at);
                }
            }
            // every request is answered within a period of its time, streams aside
            for (id, open) in &world.open {
                let streams = open.tries.iter().any(|t| t.streaming && t.over.is_none());
                let due = open.valid_until + Span::from_millis(35);
                assert!(
                    open.answered || streams || world.now <= due,
                    "seed {seed}: {id} lost"
                );
            }
            world
                .open
                .retain(|_, o| !o.answered || o.tries.iter().any(|t| t.over.is_none()));
        }
    }
}
