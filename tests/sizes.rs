//! What sizes and kinds in the list do to where many gateways send.

mod common;

use common::fleet::*;
use common::*;
use stilespan::interface::*;

/// Two thirds of the replicas are small and have a tenth of the capacity. A hundred gateways that
/// know nothing but the list give every replica about what its size is due: each alone would send
/// most of its few requests to small ones.
#[test]
fn new_gateways_send_by_size() {
    let size = |k: u64| if k < 40 { 1.0 } else { 18.0 };
    let entries: Vec<ReplicaEntry> = (0..60)
        .map(|k| ReplicaEntry {
            weight: size(k),
            ..entry(k)
        })
        .collect();
    let mut fleet = Fleet::new(
        &Settings {
            router_count: GATEWAYS,
            ..settings()
        },
        &entries,
    );
    for _ in 0..4 {
        fleet.round(Span::from_secs(1));
    }
    let small = fleet.sent.iter().filter(|s| size(s.2) == 1.0).count();
    let part = small as f64 / fleet.sent.len() as f64;
    assert!(
        fleet.sent.len() > 350 && part < 0.2,
        "{part} of {} sends to a tenth of the fleet",
        fleet.sent.len()
    );
}

/// Where load reports correct it, a class with time to spare leaves the large replicas to one that
/// needs them.
#[test]
fn urgent_requests_get_large_replicas() {
    let pressed = Class {
        first_token_objective: Span::from_millis(400),
        ..probing().classes[0].clone()
    };
    let spare = Class {
        first_token_objective: Span::from_secs(60),
        deadline: Span::from_secs(90),
        ..pressed.clone()
    };
    let set = Settings {
        classes: vec![pressed, spare],
        router_count: GATEWAYS,
        ..probing()
    };
    let entries = |k| ReplicaEntry {
        weight: if k < 20 { 4.0 } else { 8.0 },
        ..entry(k)
    };
    let mut to_large = [0, 0];
    for seed in 0..100 {
        for class in [0, 1] {
            let balancer = stilespan::Balancer::new(set.clone(), seed, START);
            let mut gateway = Gateway {
                balancer,
                now: START,
            };
            gateway.step(
                0,
                vec![list(
                    EndpointListKind::Persisted,
                    (0..40).map(entries).collect(),
                )],
            );
            let ask = Arrival {
                class,
                expires_at: START + Span::from_secs(80),
                ..arrival(1)
            };
            let mut actions = gateway.step(0, vec![Event::RequestReceived(ask)]);
            for _ in 0..50 {
                let sent = sends(&actions).into_iter().filter(|s| s.1 >= 20).count();
                to_large[class as usize] += sent;
                let answers = probes(&actions)
                    .into_iter()
                    .map(|k| told(k, Outcome::Completed, Some(load_report(0.0, 4.0, 0.1))));
                actions = gateway.step(
                    2_000,
                    answers.chain([Event::TimerFired { timer_id: 0 }]).collect(),
                );
            }
        }
    }
    assert!(
        to_large[0] > 75 && to_large[1] < 25,
        "{to_large:?} of 100 each"
    );
}
