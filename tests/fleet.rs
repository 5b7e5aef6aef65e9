//! What many gateways do together, each of which decides on its own. Every gateway is a `Balancer`
//! with values for time; no replica is modelled, answers arrive after a fixed time.

mod common;

use common::fleet::*;
use common::*;
use rstest::rstest;
use stilespan::interface::*;

/// A gateway that has sent nothing, with a slow replica, one that answers no health check and one
/// that can't be reached: it sends to the others only, soon, and requests no more than three loads
/// for a request.
#[test]
fn new_gateway_sends_by_load_reports() {
    let mut to = Vec::new();
    for seed in 0..40 {
        let mut gateway =
            Gateway::seeded(health_check_settings(), seed, (0..6).map(entry).collect());
        for id in 1..=4 {
            let mut actions = gateway.submit(100_000, arrival(id));
            let mut checks = 0;
            for _ in 0..100 {
                checks += health_checks(&actions).len();
                let answers = health_checks(&actions).into_iter().filter_map(|k| match k {
                    0 => Some(health_check_ended(
                        k,
                        Outcome::Completed,
                        Some(load_report(0.0, 0.5, 0.6)),
                    )),
                    1 => None,
                    2 => Some(health_check_ended(k, Outcome::ConnectFailed, None)),
                    _ => Some(health_check_ended(
                        k,
                        Outcome::Completed,
                        Some(load_report(0.0, 4.0, 0.1)),
                    )),
                });
                let events = answers.chain([Event::TimerFired { timer_id: 0 }]).collect();
                to.extend(sends(&actions).iter().map(|s| s.1));
                actions = gateway.step(2_000, events);
            }
            assert!(checks <= 6, "{checks} health checks for one request");
            gateway.step(
                2_000,
                vec![
                    first_token(id, 0, 50_000),
                    attempt_ended(id, 0, Outcome::Completed, true),
                ],
            );
        }
    }
    assert_eq!(to.len(), 160, "each is sent within 200 ms");
    let slow = to.iter().filter(|&&k| k < 3).count();
    assert!(
        slow <= 8,
        "{slow} of 160 sends to replicas that are slow or unreachable"
    );
}

/// Sends of one request of a new gateway to replicas below `silent`, which answer no health check.
fn sent_to_silent(silent: u64, replicas: u64) -> usize {
    let mut to_silent = 0;
    for seed in 0..200 {
        let mut gateway = Gateway::seeded(
            health_check_settings(),
            seed,
            (0..replicas).map(entry).collect(),
        );
        let mut actions = gateway.submit(1_000, arrival(1));
        for _ in 0..100 {
            to_silent += sends(&actions).iter().filter(|s| s.1 < silent).count();
            let report = Some(load_report(0.0, 4.0, 0.1));
            let answers = health_checks(&actions).into_iter().filter(|&k| k >= silent);
            let answers = answers.map(|k| health_check_ended(k, Outcome::Completed, report));
            let events = answers.chain([Event::TimerFired { timer_id: 0 }]).collect();
            actions = gateway.step(2_000, events);
        }
    }
    to_silent
}

/// An unreachable zone: a request is sent there only where neither three nor three more replicas
/// have answered.
#[test]
fn silent_replicas_get_few_requests() {
    // one in three silent: never six of them
    assert_eq!(sent_to_silent(4, 12), 0);
    // three in four: all three of a draw in 38 of 100, both times in 15
    let sent = sent_to_silent(9, 12);
    assert!(
        sent <= 50,
        "{sent} of 200 requests sent to a silent replica"
    );
}

/// A replica whose health check failed gets no further one for each request that arrives soon after
/// it.
#[test]
fn failed_health_check_is_not_repeated() {
    let mut gateway = Gateway::seeded(health_check_settings(), 1, (0..3).map(entry).collect());
    assert_eq!(health_checks(&gateway.submit(1_000, arrival(1))).len(), 3);
    let report = Some(load_report(0.0, 4.0, 0.1));
    let events = vec![
        health_check_ended(0, Outcome::Completed, report),
        health_check_ended(1, Outcome::Completed, report),
        health_check_ended(2, Outcome::ConnectFailed, None),
    ];
    gateway.step(2_000, events);
    for id in 2..6 {
        let actions = gateway.submit(2_000, arrival(id));
        assert!(
            !health_checks(&actions).contains(&2),
            "request {id}: {actions:?}"
        );
    }
}

/// A prefix that all sessions share attracts no requests to a single replica: all gateways would
/// choose it.
#[test]
fn shared_prefix_spreads_over_replicas() {
    let entries: Vec<ReplicaEntry> = (0..40).map(entry).collect();
    let mut to = [0; 40];
    for seed in 0..400 {
        let mut gateway = Gateway::seeded(slow_start_settings(), seed, entries.clone());
        let request = arrival(1).with_prefix(7).with_shared_prefix_tokens(300);
        for (_, k) in sends(&gateway.submit(1_000, request)) {
            to[k as usize] += 1;
        }
    }
    assert_eq!(to.iter().sum::<usize>(), 400);
    assert!(to.iter().all(|&n| n <= 25), "10 each would be even: {to:?}");
}

/// A class with a long objective leaves a zone whose replicas are slow as soon as one with a short
/// objective: its work is the same there.
#[rstest]
#[case::short_objective(0)]
#[case::long_objective(1)]
fn both_classes_leave_a_slow_zone(#[case] class: u32) {
    let mut set = Settings {
        cross_zone_cost: 0.1,
        ..health_check_settings()
    };
    set.classes[0].first_token_objective = Span::from_millis(400);
    set.classes[0].first_token_objective_per_1000_prompt_tokens = Span::from_millis(60);
    set.classes.push(Class {
        first_token_objective: Span::from_secs(3),
        ..set.classes[0].clone()
    });
    let far = entry(1).with_zone(1);
    let mut gateway = Gateway::seeded(set, 1, vec![entry(0), far]);
    let mut sent = Vec::new();
    let mut actions = gateway.submit(
        1_000,
        arrival(1).with_class(class).with_prompt_tokens(2_000),
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
        let answers = health_checks(&actions)
            .into_iter()
            .map(|k| health_check_ended(k, Outcome::Completed, Some(report(k))));
        let events = answers.chain([Event::TimerFired { timer_id: 0 }]).collect();
        actions = gateway.step(2_000, events);
    }
    assert_eq!(sent, [1]);
}

/// Discovery fails all gateways' calls at the same moment: their next calls are spread, at first
/// and after many failures, and each polls soon enough for the platform's limit of 6 s after
/// discovery can be reached again (`policy::list_poll_timer`).
#[test]
fn polls_of_failing_discovery_are_spread() {
    let set = Settings {
        endpoints_on_request: true,
        ..slow_start_settings()
    };
    let mut gateways: Vec<Gateway> = (0..u64::from(GATEWAYS))
        .map(|seed| Gateway {
            balancer: stilespan::Balancer::new(set.clone(), seed, START),
            now: START,
        })
        .collect();
    let failed = || vec![endpoints_updated(EndpointListKind::Error, Vec::new())];
    gateways.iter_mut().for_each(|g| drop(g.step(0, failed())));
    // calls in each 100 ms; every one fails at once
    let mut calls = [0; 200];
    for tick in 0..2_000 {
        for gateway in &mut gateways {
            let polls = |a: &[Action]| a.iter().filter(|a| **a == Action::WatchEndpoints).count();
            let polled = polls(&gateway.step(10_000, vec![Event::TimerFired { timer_id: 0 }]));
            calls[tick / 10] += polled;
            if polled > 0 {
                gateway.step(0, failed());
            }
        }
    }
    let max = calls.iter().max().unwrap();
    assert!(*max <= 40, "{max} calls within 100 ms");
    let late: usize = calls[100..].iter().sum();
    assert!(
        (700..=1_000).contains(&late),
        "{late} calls in the last 10 s"
    );
    let max = calls[100..].iter().max().unwrap();
    assert!(*max <= 24, "{max} calls within 100 ms after many failures");
}
