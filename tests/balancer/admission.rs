//! Which requests are shed under load, and which are not.

use stilespan::interface::*;

use crate::common::*;

#[test]
fn traffic_over_quota_is_shed_first() {
    let set = Settings {
        quotas: vec![20.0, 20.0],
        over_quota_weight: 0.05,
        ..settings()
    };
    let mut gateway = Gateway::new(set, 1);
    let mut shed = [0, 0];
    for id in 1..2_000 {
        // tenant 1 stays within its quota, tenant 0 sends five times as much; nothing is answered
        // in time
        let tenant = u32::from(id % 6 == 0);
        let actions = gateway.submit(10_000, arrival(id).with_tenant(tenant));
        shed[tenant as usize] += usize::from(is_rejected(&actions, id));
        for (sent, _) in sends(&actions) {
            gateway.step(0, vec![attempt_ended(sent, 0, Outcome::Rejected, false)]);
        }
    }
    assert!(shed[0] > 500 && shed[1] * 5 < shed[0], "{shed:?}");
}

#[test]
fn client_retries_are_shed_first() {
    let mut gateway = Gateway::new(settings(), 1);
    let mut shed = [0, 0];
    for id in 1..2_000 {
        let repeat = id % 2 == 0;
        let actions = gateway.submit(10_000, arrival(id).with_retry_mark(repeat));
        shed[usize::from(repeat)] += usize::from(is_rejected(&actions, id));
        for (sent, _) in sends(&actions) {
            gateway.step(0, vec![attempt_ended(sent, 0, Outcome::Rejected, false)]);
        }
    }
    assert!(shed[1] > 500 && shed[1] > shed[0], "{shed:?}");
}

#[test]
fn admission_recovers_after_shedding() {
    // guards against an admission rate that grows with outcomes: with few admitted requests it
    // would hardly grow
    let mut gateway = Gateway::new(settings(), 2);
    for id in 1..400 {
        let mut sent = sends(&gateway.submit(10_000, arrival(id)));
        for attempt in 0..3 {
            let full = sent.iter().map(|s| {
                attempt_ended(
                    s.0,
                    attempt * u32::from(s.0 == id),
                    Outcome::Rejected,
                    false,
                )
            });
            sent = sends(&gateway.step(0, full.collect()));
        }
    }
    for _ in 0..6_000 {
        gateway.step(10_000, vec![]);
    }
    let mut served = 0;
    for id in 1_000..1_100 {
        let mut sent = sends(&gateway.submit(500_000, arrival(id)));
        served += sent.len();
        for (id, _) in sent.drain(..) {
            gateway.step(50_000, vec![first_token(id, 0, 50_000)]);
            gateway.step(50_000, vec![attempt_ended(id, 0, Outcome::Completed, true)]);
        }
    }
    assert!(served > 90, "{served}");
}

#[test]
fn single_miss_sheds_little() {
    // guards against a single failure that has a third of the requests rejected for seconds
    let mut gateway = Gateway::new(settings(), 4);
    let mut rejections = 0;
    for id in 0..120 {
        let actions = gateway.submit(250_000, arrival(id));
        if is_rejected(&actions, id) {
            rejections += 1;
            continue;
        }
        let outcome = if id == 80 {
            Outcome::Error
        } else {
            Outcome::Completed
        };
        if outcome == Outcome::Completed {
            gateway.step(50_000, vec![first_token(id, 0, 50_000)]);
        }
        gateway.step(
            10_000,
            vec![attempt_ended(id, 0, outcome, outcome == Outcome::Completed)],
        );
    }
    assert!(
        rejections <= 1,
        "{rejections} of 120 rejected for one error"
    );
}

/// Guards against replicas that reject some requests while the others have capacity: what is served
/// elsewhere in time is no reason to shed.
#[test]
fn successful_retry_sheds_nothing() {
    let mut gateway = Gateway::new(settings(), 6);
    let mut rejections = 0;
    for id in 1..=300 {
        let mut actions = gateway.submit(50_000, arrival(id));
        assert!(
            !is_rejected(&actions, id),
            "request {id} after {rejections}"
        );
        for attempt in 0.. {
            let Some(&(_, replica)) = sends(&actions).first() else {
                break;
            };
            if attempt < 2 && (u64::from(id) + replica).is_multiple_of(5) {
                rejections += 1;
                actions = gateway.step(
                    5_000,
                    vec![attempt_ended(id, attempt, Outcome::Rejected, false)],
                );
            } else {
                gateway.step(5_000, vec![first_token(id, attempt, 10_000)]);
                actions = gateway.step(
                    1_000,
                    vec![attempt_ended(id, attempt, Outcome::Completed, true)],
                );
            }
        }
    }
    assert!(rejections > 20, "{rejections}");
}

#[test]
fn objective_grows_with_work() {
    let mut set = settings();
    set.classes[0].first_token_objective_stretch = 2.0;
    for (hint, late) in [(0, true), (1_000_000, false), (90_000_000, false)] {
        let mut gateway = Gateway::new(set.clone(), 0);
        gateway.submit(0, arrival(1).with_expected_work(Span::from_micros(hint)));
        assert_eq!(
            is_rejected(&gateway.step(1_500_000, vec![]), 1),
            late,
            "{hint}"
        );
        gateway.step(3_600_000, vec![]);
        assert!(gateway.step(0, vec![]).is_empty());
    }
}
