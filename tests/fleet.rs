//! What many gateways do together, each on its own: the sums that a rule or a peer sees. Every
//! gateway is a `Balancer` of its own with values for time; no replica is modelled, answers come
//! after a fixed time.

mod common;

use common::fleet::*;
use common::*;
use rstest::rstest;
use stilespan::interface::*;

/// A gateway that has sent nothing meets a replica that others have found slow, one that answers no
/// probe and one that can't be reached: it sends to the others alone, soon, and asks for no more
/// than three loads a request.
#[test]
fn a_gateway_that_knows_nothing_sends_where_loads_tell_it_to() {
    let mut to = Vec::new();
    for seed in 0..40 {
        let balancer = stilespan::Balancer::new(probing(), seed, START);
        let mut gateway = Gateway {
            balancer,
            now: START,
        };
        gateway.step(
            0,
            vec![list(
                EndpointListKind::Persisted,
                (0..6).map(entry).collect(),
            )],
        );
        for id in 1..=4 {
            let mut actions = gateway.ask(100_000, arrival(id));
            let mut asked = 0;
            for _ in 0..100 {
                asked += probes(&actions).len();
                let answers = probes(&actions).into_iter().filter_map(|k| match k {
                    0 => Some(told(
                        k,
                        Outcome::Completed,
                        Some(load_report(0.0, 0.5, 0.6)),
                    )),
                    1 => None,
                    2 => Some(told(k, Outcome::ConnectFailed, None)),
                    _ => Some(told(
                        k,
                        Outcome::Completed,
                        Some(load_report(0.0, 4.0, 0.1)),
                    )),
                });
                let events = answers.chain([Event::TimerFired { timer_id: 0 }]).collect();
                to.extend(sends(&actions).iter().map(|s| s.1));
                actions = gateway.step(2_000, events);
            }
            assert!(asked <= 6, "{asked} probes for one request");
            gateway.step(
                2_000,
                vec![first(id, 0, 50_000), ended(id, 0, Outcome::Completed, true)],
            );
        }
    }
    assert_eq!(to.len(), 160, "each is sent within 200 ms");
    let slow = to.iter().filter(|&&k| k < 3).count();
    assert!(
        slow <= 8,
        "{slow} of 160 sends to replicas that are slow or gone"
    );
}

/// Sends of one request, of a gateway that knows nothing, to replicas below `silent`, which answer
/// no probe.
fn sent_to_silent(silent: u64, replicas: u64) -> usize {
    let mut to_silent = 0;
    for seed in 0..200 {
        let balancer = stilespan::Balancer::new(probing(), seed, START);
        let mut gateway = Gateway {
            balancer,
            now: START,
        };
        gateway.step(
            0,
            vec![list(
                EndpointListKind::Persisted,
                (0..replicas).map(entry).collect(),
            )],
        );
        let mut actions = gateway.ask(1_000, arrival(1));
        for _ in 0..100 {
            to_silent += sends(&actions).iter().filter(|s| s.1 < silent).count();
            let report = Some(load_report(0.0, 4.0, 0.1));
            let answers = probes(&actions).into_iter().filter(|&k| k >= silent);
            let answers = answers.map(|k| told(k, Outcome::Completed, report));
            let events = answers.chain([Event::TimerFired { timer_id: 0 }]).collect();
            actions = gateway.step(2_000, events);
        }
    }
    to_silent
}

/// A lost zone, silent: a request goes there only where neither three nor three more have answered.
#[test]
fn a_request_keeps_away_from_replicas_that_answer_no_probe() {
    // one in three silent: never six of them
    assert_eq!(sent_to_silent(4, 12), 0);
    // three in four: all three of a draw in 38 of 100, both times in 15
    let most = sent_to_silent(9, 12);
    assert!(
        most <= 50,
        "{most} of 200 requests sent to a silent replica"
    );
}

/// A replica whose probe failed is left alone for a while: no probe for each request that comes
/// meanwhile.
#[test]
fn a_failed_probe_puts_a_replica_off() {
    let mut gateway = Gateway {
        balancer: stilespan::Balancer::new(probing(), 1, START),
        now: START,
    };
    gateway.step(
        0,
        vec![list(
            EndpointListKind::Persisted,
            (0..3).map(entry).collect(),
        )],
    );
    assert_eq!(probes(&gateway.ask(1_000, arrival(1))).len(), 3);
    let good = Some(load_report(0.0, 4.0, 0.1));
    let events = vec![
        told(0, Outcome::Completed, good),
        told(1, Outcome::Completed, good),
        told(2, Outcome::ConnectFailed, None),
    ];
    gateway.step(2_000, events);
    for id in 2..6 {
        let actions = gateway.ask(2_000, arrival(id));
        assert!(!probes(&actions).contains(&2), "request {id}: {actions:?}");
    }
}

/// A beginning that all sessions share draws nobody's requests to one replica: all gateways would
/// look there.
#[test]
fn a_shared_beginning_does_not_gather_all_gateways_at_one_replica() {
    let entries: Vec<ReplicaEntry> = (0..40).map(entry).collect();
    let mut to = [0; 40];
    for seed in 0..400 {
        let balancer = stilespan::Balancer::new(rules(), seed, START);
        let mut gateway = Gateway {
            balancer,
            now: START,
        };
        gateway.step(0, vec![list(EndpointListKind::Persisted, entries.clone())]);
        let ask = Arrival {
            prefix: Some(7),
            shared_prefix_tokens: 300,
            ..arrival(1)
        };
        for (_, k) in sends(&gateway.ask(1_000, ask)) {
            to[k as usize] += 1;
        }
    }
    assert_eq!(to.iter().sum::<usize>(), 400);
    assert!(to.iter().all(|&n| n <= 25), "10 each would be even: {to:?}");
}

/// Work that can wait leaves a zone whose replicas are slow as soon as work that can't: it weighs
/// as much there.
#[rstest]
#[case::short_aim(0)]
#[case::long_aim(1)]
fn either_class_crosses_from_a_full_zone_at_the_same_gain(#[case] class: u32) {
    let mut set = Settings {
        cross_zone_cost: 0.1,
        ..probing()
    };
    set.classes[0].first_token_objective = Span::from_millis(400);
    set.classes[0].first_token_objective_per_1000_prompt_tokens = Span::from_millis(60);
    set.classes.push(Class {
        first_token_objective: Span::from_secs(3),
        ..set.classes[0].clone()
    });
    let mut gateway = Gateway {
        balancer: stilespan::Balancer::new(set, 1, START),
        now: START,
    };
    let far = ReplicaEntry {
        zone: 1,
        ..entry(1)
    };
    gateway.step(
        0,
        vec![list(EndpointListKind::Persisted, vec![entry(0), far])],
    );
    let mut sent = Vec::new();
    let mut actions = gateway.ask(
        1_000,
        Arrival {
            class,
            prompt_tokens: 2_000,
            ..arrival(1)
        },
    );
    for _ in 0..100 {
        sent.extend(sends(&actions).iter().map(|s| s.1));
        let report = |k| {
            if k == 0 {
                load_report(0.0, 1.0, 0.6)
            } else {
                load_report(0.0, 4.0, 0.1)
            }
        };
        let answers = probes(&actions)
            .into_iter()
            .map(|k| told(k, Outcome::Completed, Some(report(k))));
        let events = answers.chain([Event::TimerFired { timer_id: 0 }]).collect();
        actions = gateway.step(2_000, events);
    }
    assert_eq!(sent, [1]);
}

/// Discovery fails all gateways' calls at the same moment: they come back spread, at first and
/// after many failures, and each asks again soon enough for what counts as told 6 s after discovery
/// can be reached (`policy::list_poll_timer`).
#[test]
fn calls_at_a_failing_discovery_are_spread_and_go_on() {
    let set = Settings {
        endpoints_on_request: true,
        ..rules()
    };
    let mut gateways: Vec<Gateway> = (0..u64::from(GATEWAYS))
        .map(|seed| Gateway {
            balancer: stilespan::Balancer::new(set.clone(), seed, START),
            now: START,
        })
        .collect();
    let failed = || vec![list(EndpointListKind::Error, Vec::new())];
    gateways.iter_mut().for_each(|g| drop(g.step(0, failed())));
    // calls in each 100 ms; every one fails at once
    let mut calls = [0; 200];
    for tick in 0..2_000 {
        for gateway in &mut gateways {
            let watches = |a: &[Action]| a.iter().filter(|a| **a == Action::WatchEndpoints).count();
            let asked = watches(&gateway.step(10_000, vec![Event::TimerFired { timer_id: 0 }]));
            calls[tick / 10] += asked;
            if asked > 0 {
                gateway.step(0, failed());
            }
        }
    }
    let most = calls.iter().max().unwrap();
    assert!(*most <= 40, "{most} calls within 100 ms");
    let late: usize = calls[100..].iter().sum();
    assert!(
        (700..=1_000).contains(&late),
        "{late} calls in the last 10 s"
    );
    let most = calls[100..].iter().max().unwrap();
    assert!(
        *most <= 24,
        "{most} calls within 100 ms after many failures"
    );
}
