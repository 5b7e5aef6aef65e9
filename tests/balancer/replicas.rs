//! Tests with replicas that fail, drain or are removed from the endpoint list.

use stilespan::interface::*;

use crate::common::*;

/// Guards against a retry at the replica whose fault made the retry necessary.
#[test]
fn retry_avoids_failed_replica() {
    for outcome in [
        Outcome::Rejected,
        Outcome::Error,
        Outcome::ConnectionReset,
        Outcome::ConnectFailed,
    ] {
        let mut router = TestRouter::new(settings(), 2);
        let (_, bad) = sends(&router.submit(2_000, arrival(1)))[0];
        let again = sends(&router.step(2_000, vec![attempt_ended(1, 0, outcome, false)]));
        assert_eq!(again, [(1, 1 - bad)], "{outcome:?}");
    }
}

/// Guards against requests that keep being sent to a replica which cannot be reached.
#[test]
fn connect_failures_back_off() {
    let mut router = TestRouter::new(settings(), 4);
    let (mut failures, mut failing) = (0, None);
    for id in 1..=400 {
        let mut actions = router.submit(5_000, arrival(id));
        for attempt in 0..3 {
            assert!(!is_rejected(&actions, id));
            let [(_, replica)] = sends(&actions)[..] else {
                panic!("{actions:?}")
            };
            // connections to the first replica that is tried fail
            if replica != *failing.get_or_insert(replica) {
                router.step(1_000, vec![first_token(id, attempt, 1_000)]);
                router.step(
                    1_000,
                    vec![attempt_ended(id, attempt, Outcome::Completed, true)],
                );
                break;
            }
            failures += 1;
            actions = router.step(
                1_000,
                vec![attempt_ended(id, attempt, Outcome::ConnectFailed, false)],
            );
        }
    }
    // 400 requests in about three seconds
    assert!(
        (1..=12).contains(&failures),
        "{failures} failed connections"
    );
}

/// Guards against a backoff that is as long as the broken stream had run.
#[test]
fn broken_stream_causes_short_backoff() {
    let mut router = TestRouter::new(settings(), 1);
    assert_eq!(sends(&router.submit(2_000, arrival(1))).len(), 1);
    router.step(50_000, vec![first_token(1, 0, 50_000)]);
    let (request, elapsed, outcome) = (RequestId(1), Span::from_secs(4), Outcome::ConnectionReset);
    let broken = Event::AttemptEnded(AttemptEnded {
        request,
        attempt: 0,
        outcome,
        elapsed,
        cached_tokens: None,
        request_complete: true,
        load_report: None,
    });
    router.step(3_950_000, vec![broken]);
    router.step(1_500_000, vec![]);
    assert_eq!(sends(&router.submit(2_000, arrival(2))).len(), 1);
}

#[test]
fn draining_replicas_get_no_requests() {
    for state in [EndpointState::Draining, EndpointState::Removed] {
        let mut router = TestRouter::new(settings(), 1);
        router.step(
            2_000,
            vec![endpoints_updated(
                EndpointListKind::Partial,
                vec![entry(0).with_state(state)],
            )],
        );
        let actions = router.submit(2_000, arrival(1));
        assert!(sends(&actions).is_empty());
        // the request is rejected at once, because the list contains no replica that could serve it
        assert!(is_rejected(&actions, 1), "{actions:?}");
    }
    // a replica that is missing from a complete list is removed too
    let mut router = TestRouter::new(settings(), 2);
    router.step(
        2_000,
        vec![endpoints_updated(
            EndpointListKind::Complete,
            vec![entry(1)],
        )],
    );
    assert_eq!(sends(&router.submit(2_000, arrival(1))), [(1, 1)]);
}

/// Guards against memory and processing time that grow with every replica that was ever listed.
#[test]
fn removed_replicas_free_memory() {
    let mut router = TestRouter::new(settings(), 2);
    for k in 2..500 {
        let removed = entry(k - 2).with_state(EndpointState::Removed);
        router.step(
            20_000,
            vec![endpoints_updated(
                EndpointListKind::Partial,
                vec![removed, entry(k)],
            )],
        );
        let id = k as u32;
        let sent = sends(&router.submit(2_000, arrival(id)));
        assert!(sent.iter().all(|s| s.1 == k || s.1 == k - 1), "{sent:?}");
        router.step(5_000, vec![first_token(id, 0, 10_000)]);
        router.step(1_000, vec![attempt_ended(id, 0, Outcome::Completed, true)]);
    }
    assert!(
        router.balancer.tracked_replicas() <= 4,
        "{} tracked replicas",
        router.balancer.tracked_replicas()
    );
}

/// Guards against long backoffs of most replicas at the same time: after a trouble at all of them,
/// none took requests for 16 first-token times.
#[test]
fn backoffs_of_most_replicas_are_short() {
    let mut router = TestRouter::new(settings(), 6);
    for id in 0..30 {
        let sent = sends(&router.submit(100_000, arrival(id)));
        assert_eq!(sent.len(), 1);
        router.step(400_000, vec![first_token(id, 0, 400_000)]);
        router.step(10_000, vec![attempt_ended(id, 0, Outcome::Completed, true)]);
    }
    let failed_checks = (0..24).map(|number| {
        Event::HealthCheckEnded(HealthCheckEnded {
            replica: ReplicaId(number % 6),
            outcome: Outcome::ConnectFailed,
            elapsed: Span::from_millis(1),
            load_report: None,
        })
    });
    router.step(10_000, failed_checks.collect());
    assert_eq!(router.balancer.unavailable_replicas(), 6);
    router.step(1_000_000, vec![Event::TimerFired { timer_id: 0 }]);
    assert_eq!(router.balancer.unavailable_replicas(), 0);
}
