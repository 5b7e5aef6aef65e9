//! The decision module where replicas serve different models, on a gateway in miniature.

mod common;

use common::*;
use rstest::rstest;
use stilespan::interface::*;

/// A replica that serves these models, each with the microseconds that it takes to load.
fn serving(replica: u64, models: &[(u32, u64)]) -> ReplicaEntry {
    ReplicaEntry {
        models: ServedModels::only(models.iter().map(|&(model, load_time)| ServedModel {
            model,
            load_time: Span::from_micros(load_time),
        })),
        ..entry(replica)
    }
}

fn gateway(entries: Vec<ReplicaEntry>) -> Gateway {
    let mut gateway = Gateway::new(settings(), 0);
    gateway.step(
        0,
        vec![endpoints_updated(EndpointListKind::Complete, entries)],
    );
    gateway
}

fn request_for(model: u32, request: u32) -> Arrival {
    Arrival {
        model,
        ..arrival(request)
    }
}

#[test]
fn requests_go_where_their_model_is() {
    let mut gateway = gateway(
        (0..40)
            .map(|k| serving(k, &[(1 + u32::from(k == 23), 0)]))
            .collect(),
    );
    let mut sent = Vec::new();
    for id in 1..=20 {
        sent.extend(sends(&gateway.submit(60_000, request_for(1, id))));
        gateway.step(
            1_000,
            vec![
                first_token(id, 0, 1_000),
                attempt_ended(id, 0, Outcome::Completed, true),
            ],
        );
    }
    assert_eq!(sent.len(), 20);
    assert!(sent.iter().all(|s| s.1 != 23), "{sent:?}");
    // one replica in 40 has the model: a step whose draws miss it is followed by others
    let mut actions = gateway.submit(2_000, request_for(2, 50));
    for _ in 0..40 {
        actions.extend(gateway.step(5_000, vec![Event::TimerFired { timer_id: 0 }]));
    }
    assert_eq!(sends(&actions), [(50, 23)]);
}

#[test]
fn models_share_the_load_of_replicas() {
    // the first replica has both models and is busy with model 1, so model 2 goes to the second
    let mut gateway = gateway(vec![serving(0, &[(1, 0), (2, 0)]), serving(1, &[(2, 0)])]);
    let long = Arrival {
        prompt_tokens: 6_000,
        ..request_for(1, 1)
    };
    assert_eq!(sends(&gateway.submit(2_000, long)), [(1, 0)]);
    assert_eq!(sends(&gateway.submit(2_000, request_for(2, 2))), [(2, 1)]);
}

#[rstest]
#[case::never_listed(0)]
#[case::left_while_queued(1)]
fn models_without_replicas_are_rejected(#[case] queued: u32) {
    let mut gateway = gateway(vec![serving(0, &[(1, 0), (2, 0)])]);
    if queued == 1 {
        // a long prompt keeps the only replica from maturing
        gateway.submit(
            2_000,
            Arrival {
                prompt_tokens: 6_000,
                ..request_for(1, 1)
            },
        );
        assert!(gateway.submit(2_000, request_for(2, 2)).is_empty());
        let actions = gateway.step(
            2_000,
            vec![endpoints_updated(
                EndpointListKind::Partial,
                vec![serving(0, &[(1, 0)])],
            )],
        );
        assert!(is_rejected(&actions, 2), "{actions:?}");
    } else {
        assert!(is_rejected(&gateway.submit(2_000, request_for(3, 2)), 2));
    }
}

#[test]
fn loaded_models_are_preferred() {
    let mut gateway = gateway(vec![serving(0, &[(1, 300_000)]), serving(1, &[(1, 0)])]);
    for id in 1..=10 {
        assert_eq!(
            sends(&gateway.submit(100_000, request_for(1, id))),
            [(id, 1)]
        );
        gateway.step(
            1_000,
            vec![
                first_token(id, 0, 1_000),
                attempt_ended(id, 0, Outcome::Completed, true),
            ],
        );
    }
    // a load that takes longer than the objective is not begun
    let mut gateway = Gateway::new(settings(), 0);
    gateway.step(
        0,
        vec![endpoints_updated(
            EndpointListKind::Complete,
            vec![serving(0, &[(1, 3_000_000)])],
        )],
    );
    assert!(sends(&gateway.submit(2_000, request_for(1, 1))).is_empty());
}

#[test]
fn attempts_of_earlier_ids_count() {
    let mut gateway = gateway(vec![serving(0, &[(1, 0)]), serving(1, &[(1, 0)])]);
    let mut arrival = request_for(1, 1);
    arrival.prior_attempts = 2;
    assert_eq!(sends(&gateway.submit(2_000, arrival)).len(), 1);
    let actions = gateway.step(2_000, vec![attempt_ended(1, 0, Outcome::Error, false)]);
    assert!(
        is_rejected(&actions, 1) && sends(&actions).is_empty(),
        "{actions:?}"
    );
    let without_attempts = Arrival {
        prior_attempts: 3,
        ..request_for(1, 2)
    };
    let mut actions = gateway.submit(500_000, without_attempts);
    for _ in 0..60 {
        actions.extend(gateway.step(100_000, vec![Event::TimerFired { timer_id: 0 }]));
    }
    assert!(
        sends(&actions).is_empty() && is_rejected(&actions, 2),
        "{actions:?}"
    );
}

/// The replica of a session is the same at every gateway, and has the session's model.
#[test]
fn sessions_go_where_their_model_is() {
    let entries: Vec<ReplicaEntry> = (0..6)
        .map(|k| serving(k, &[(1 + (k % 2) as u32, 0)]))
        .collect();
    for session in 0..40 {
        let mut replicas = Vec::new();
        for _ in 0..2 {
            let mut gateway = gateway(entries.clone());
            let request = Arrival {
                session: Some(session),
                prompt_tokens: 900,
                ..request_for(1, 1)
            };
            let sent = sends(&gateway.submit(2_000, request));
            assert_eq!(sent[0].1 % 2, 0, "{sent:?}");
            replicas.push(sent);
        }
        assert_eq!(replicas[0], replicas[1]);
    }
}
