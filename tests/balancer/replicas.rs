//! Replicas that fail, drain or are removed from the endpoint list.

use stilespan::interface::*;

use crate::common::*;

#[test]
fn fault_delays_maturity() {
    for outcome in [
        Outcome::Full,
        Outcome::Error,
        Outcome::Reset,
        Outcome::ConnectFailed,
    ] {
        let mut gateway = Gateway::new(settings(), 2);
        let (_, bad) = sends(&gateway.ask(2_000, arrival(1)))[0];
        let again = sends(&gateway.step(2_000, vec![ended(1, 0, outcome, false)]));
        assert_eq!(again, [(1, 1 - bad)], "{outcome:?}");
    }
}

#[test]
fn connect_failures_back_off() {
    let mut gateway = Gateway::new(settings(), 4);
    let (mut failures, mut failing) = (0, None);
    for id in 1..=400 {
        let mut actions = gateway.ask(5_000, arrival(id));
        for trial in 0..3 {
            assert!(!refused(&actions, id));
            let [(_, replica)] = sends(&actions)[..] else {
                panic!("{actions:?}")
            };
            // the first replica that is tried takes no connections
            if replica != *failing.get_or_insert(replica) {
                gateway.step(1_000, vec![first(id, trial, 1_000)]);
                gateway.step(1_000, vec![ended(id, trial, Outcome::Ok, true)]);
                break;
            }
            failures += 1;
            actions = gateway.step(1_000, vec![ended(id, trial, Outcome::ConnectFailed, false)]);
        }
    }
    // in about three seconds, of 400 requests
    assert!((1..=12).contains(&failures), "{failures}");
}

/// Guards against a replica that is left out for as long as its broken stream had run.
#[test]
fn late_stream_failure_keeps_replica() {
    let mut gateway = Gateway::new(settings(), 1);
    assert_eq!(sends(&gateway.ask(2_000, arrival(1))).len(), 1);
    gateway.step(50_000, vec![first(1, 0, 50_000)]);
    let (request, took, outcome) = (RequestId(1), Span::from_secs(4), Outcome::Reset);
    let broken = Event::Ended {
        request,
        trial: 0,
        outcome,
        took,
        kept: None,
        closed: true,
        report: None,
    };
    gateway.step(3_950_000, vec![broken]);
    gateway.step(1_500_000, vec![]);
    assert_eq!(sends(&gateway.ask(2_000, arrival(2))).len(), 1);
}

#[test]
fn draining_replicas_get_nothing_new() {
    for state in [State::Terminating, State::Terminated] {
        let mut gateway = Gateway::new(settings(), 1);
        gateway.step(
            2_000,
            vec![list(ListKind::Partial, vec![Entry { state, ..entry(0) }])],
        );
        let actions = gateway.ask(2_000, arrival(1));
        assert!(sends(&actions).is_empty());
        // and the request is answered at once: the list that has arrived names no replica that could
        // take it
        assert!(refused(&actions, 1), "{actions:?}");
    }
    // a replica that a complete list does not name is removed too
    let mut gateway = Gateway::new(settings(), 2);
    gateway.step(2_000, vec![list(ListKind::Complete, vec![entry(1)])]);
    assert_eq!(sends(&gateway.ask(2_000, arrival(1))), [(1, 1)]);
}

/// Guards against memory and processing time that grow with every replica that was ever listed.
#[test]
fn withdrawn_replicas_free_memory() {
    let mut gateway = Gateway::new(settings(), 2);
    for k in 2..500 {
        let removed = Entry {
            state: State::Terminated,
            ..entry(k - 2)
        };
        gateway.step(
            20_000,
            vec![list(ListKind::Partial, vec![removed, entry(k)])],
        );
        let id = k as u32;
        let sent = sends(&gateway.ask(2_000, arrival(id)));
        assert!(sent.iter().all(|s| s.1 == k || s.1 == k - 1), "{sent:?}");
        gateway.step(5_000, vec![first(id, 0, 10_000)]);
        gateway.step(1_000, vec![ended(id, 0, Outcome::Ok, true)]);
    }
    assert!(
        gateway.balancer.tracked_replicas() <= 4,
        "{}",
        gateway.balancer.tracked_replicas()
    );
}
