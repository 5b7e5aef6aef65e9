//! Mechanisms of the module where replicas serve different models, on the gateway in miniature.

mod common;

use common::*;
use rstest::rstest;
use stilespan::interface::*;

/// A replica that serves these models, each with its time to load in microseconds.
fn serving(replica: u64, models: &[(u32, u64)]) -> Entry {
    Entry {
        models: Models::only(models.iter().map(|m| (m.0, Span::from_micros(m.1)))),
        ..entry(replica)
    }
}

fn gateway(entries: Vec<Entry>) -> Gateway {
    let mut gateway = Gateway::new(settings(), 0);
    gateway.step(0, vec![list(ListKind::Complete, entries)]);
    gateway
}

fn of(model: u32, request: u32) -> Arrival {
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
    let mut to = Vec::new();
    for id in 1..=20 {
        to.extend(sends(&gateway.ask(60_000, of(1, id))));
        gateway.step(
            1_000,
            vec![first(id, 0, 1_000), ended(id, 0, Outcome::Ok, true)],
        );
    }
    assert_eq!(to.len(), 20);
    assert!(to.iter().all(|s| s.1 != 23), "{to:?}");
    // one replica in 40 has it: draws that miss it are made up for in later steps
    let mut actions = gateway.ask(2_000, of(2, 50));
    for _ in 0..40 {
        actions.extend(gateway.step(5_000, vec![Event::Timer { mark: 0 }]));
    }
    assert_eq!(sends(&actions), [(50, 23)]);
}

#[test]
fn models_share_the_load_of_replicas() {
    // both have both; the first is busy with model 1, so model 2 goes to the second, every time
    let mut gateway = gateway(vec![serving(0, &[(1, 0), (2, 0)]), serving(1, &[(2, 0)])]);
    let long = Arrival {
        prompt: 6_000,
        ..of(1, 1)
    };
    assert_eq!(sends(&gateway.ask(2_000, long)), [(1, 0)]);
    assert_eq!(sends(&gateway.ask(2_000, of(2, 2))), [(2, 1)]);
}

#[rstest]
#[case::never_listed(0)]
#[case::left_while_held(1)]
fn models_without_replicas_are_rejected(#[case] held: u32) {
    let mut gateway = gateway(vec![serving(0, &[(1, 0), (2, 0)])]);
    if held == 1 {
        // a long prompt keeps the only replica from maturing
        gateway.ask(
            2_000,
            Arrival {
                prompt: 6_000,
                ..of(1, 1)
            },
        );
        assert!(gateway.ask(2_000, of(2, 2)).is_empty());
        let actions = gateway.step(
            2_000,
            vec![list(ListKind::Partial, vec![serving(0, &[(1, 0)])])],
        );
        assert!(refused(&actions, 2), "{actions:?}");
    } else {
        assert!(refused(&gateway.ask(2_000, of(3, 2)), 2));
    }
}

#[test]
fn loaded_models_are_preferred() {
    let mut gateway = gateway(vec![serving(0, &[(1, 300_000)]), serving(1, &[(1, 0)])]);
    for id in 1..=10 {
        assert_eq!(sends(&gateway.ask(100_000, of(1, id))), [(id, 1)]);
        gateway.step(
            1_000,
            vec![first(id, 0, 1_000), ended(id, 0, Outcome::Ok, true)],
        );
    }
    // a load beyond the aim is not begun at all
    let mut gateway = Gateway::new(settings(), 0);
    gateway.step(
        0,
        vec![list(
            ListKind::Complete,
            vec![serving(0, &[(1, 3_000_000)])],
        )],
    );
    assert!(sends(&gateway.ask(2_000, of(1, 1))).is_empty());
}

#[test]
fn attempts_of_earlier_ids_count() {
    let mut gateway = gateway(vec![serving(0, &[(1, 0)]), serving(1, &[(1, 0)])]);
    let mut arrival = of(1, 1);
    arrival.spent = 2;
    assert_eq!(sends(&gateway.ask(2_000, arrival)).len(), 1);
    let actions = gateway.step(2_000, vec![ended(1, 0, Outcome::Error, false)]);
    assert!(
        refused(&actions, 1) && sends(&actions).is_empty(),
        "{actions:?}"
    );
    let spent = Arrival {
        spent: 3,
        ..of(1, 2)
    };
    let mut actions = gateway.ask(500_000, spent);
    for _ in 0..60 {
        actions.extend(gateway.step(100_000, vec![Event::Timer { mark: 0 }]));
    }
    assert!(
        sends(&actions).is_empty() && refused(&actions, 2),
        "{actions:?}"
    );
}

/// A home for a session is the same at every gateway, and has the session's model.
#[test]
fn sessions_go_where_their_model_is() {
    let entries: Vec<Entry> = (0..6)
        .map(|k| serving(k, &[(1 + (k % 2) as u32, 0)]))
        .collect();
    for session in 0..40 {
        let mut homes = Vec::new();
        for _ in 0..2 {
            let mut gateway = gateway(entries.clone());
            let asked = Arrival {
                session: Some(session),
                prompt: 900,
                ..of(1, 1)
            };
            let to = sends(&gateway.ask(2_000, asked));
            assert_eq!(to[0].1 % 2, 0, "{to:?}");
            homes.push(to);
        }
        assert_eq!(homes[0], homes[1]);
    }
}
