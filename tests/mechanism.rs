//! The parts of the mechanism, against figures worked by hand, and the rules for each kind of
//! effect.

mod common;

use common::*;
use stilespan::interface::*;
use stilespan::policy::{LinearFit, LinearModel, maturity_delay, slack_budget};

const MODEL: LinearModel = LinearModel {
    seconds_per_token: 0.0001,
    base_seconds: 0.05,
};

#[test]
fn maturity_delay_counts_won_steps() {
    // 0.1 s of prefill at 40 ms saved a step takes 2.5 steps of 40 ms
    assert!((maturity_delay(0.1, 0.08, 0.04).unwrap() - 0.2).abs() < 1e-9);
    // 0.1 s at 20 ms saved a step takes 5 steps of 60 ms
    assert!((maturity_delay(0.1, 0.08, 0.06).unwrap() - 0.4).abs() < 1e-9);
    assert_eq!(maturity_delay(0.1, 0.08, 0.08), None);
    assert_eq!(maturity_delay(0.1, 0.08, 0.09), None);
}

#[test]
fn slack_budget_meets_the_objective() {
    let next = MODEL.seconds(500.0);
    let x = slack_budget(MODEL, next, 1.0, 0.08, 0.04);
    // (1 - 0.1) x half the pace: 0.45 s of prefill, 0.4 s of it reading
    assert!((x - 4000.0).abs() < 1e-6, "{x}");
    let whole = maturity_delay(MODEL.seconds(x), 0.08, 0.04).unwrap() + next;
    assert!((whole - 1.0).abs() < 1e-9, "{whole}");
    assert_eq!(slack_budget(MODEL, next, 1.0, 0.08, 0.08), 0.0);
    assert_eq!(slack_budget(MODEL, next, 0.12, 0.08, 0.04), 0.0);
}

#[test]
fn fit_converges_from_its_prior() {
    let model = LinearFit::default().model(MODEL, 1000.0);
    assert!(
        (model.seconds_per_token - MODEL.seconds_per_token).abs() < 1e-9
            && (model.base_seconds - MODEL.base_seconds).abs() < 1e-9,
        "{model:?}"
    );
    let mut fit = LinearFit::default();
    for n in 0..200 {
        let x = f64::from(n % 10) * 300.0;
        fit.record(x, 0.0002 * x + 0.03, 0.125);
    }
    let model = fit.model(MODEL, 1000.0);
    assert!(
        (model.seconds_per_token - 0.0002).abs() < 0.00005
            && (model.base_seconds - 0.03).abs() < 0.02,
        "{model:?}"
    );
}

#[test]
fn queue_drains_by_due_time() {
    let mut set = settings();
    set.classes.push(Class {
        first_token_objective: Span::from_millis(600),
        ..set.classes[0].clone()
    });
    let mut gateway = Gateway::new(set, 1);
    // far past any budget, yet the most urgent goes
    let long = Arrival {
        prompt_tokens: 5_000,
        ..arrival(1)
    };
    assert_eq!(sends(&gateway.ask(2_000, long)), [(1, 0)]);
    assert!(gateway.ask(2_000, arrival(2)).is_empty());
    assert!(
        gateway
            .ask(
                2_000,
                Arrival {
                    class: 1,
                    ..arrival(3)
                }
            )
            .is_empty()
    );
    // it matures at once when none of our streams is left; the shorter aim goes first
    gateway.step(10_000, vec![first(1, 0, 200_000)]);
    let actions = gateway.step(10_000, vec![ended(1, 0, Outcome::Completed, true)]);
    assert_eq!(sends(&actions)[0], (3, 0));
}

#[test]
fn fault_delays_maturity() {
    for outcome in [
        Outcome::Rejected,
        Outcome::Error,
        Outcome::ConnectionReset,
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
    let (mut tried, mut full) = (0, None);
    for id in 1..=400 {
        let mut actions = gateway.ask(5_000, arrival(id));
        for attempt in 0..3 {
            assert!(!refused(&actions, id));
            let [(_, replica)] = sends(&actions)[..] else {
                panic!("{actions:?}")
            };
            // the first that is tried takes no connections
            if replica != *full.get_or_insert(replica) {
                gateway.step(1_000, vec![first(id, attempt, 1_000)]);
                gateway.step(1_000, vec![ended(id, attempt, Outcome::Completed, true)]);
                break;
            }
            tried += 1;
            actions = gateway.step(
                1_000,
                vec![ended(id, attempt, Outcome::ConnectFailed, false)],
            );
        }
    }
    // in about three seconds, of 400 requests
    assert!((1..=12).contains(&tried), "{tried}");
}

#[test]
fn overdue_first_token_stops_sends() {
    let mut gateway = Gateway::new(settings(), 2);
    let (_, slow) = sends(&gateway.ask(2_000, arrival(1)))[0];
    // far beyond the prediction, before any outcome
    for k in 0..3 {
        let id = 10 + k;
        let sent = sends(&gateway.ask(900_000, arrival(id)));
        assert!(sent.iter().all(|s| s.1 != slow), "{sent:?}");
        gateway.step(10_000, vec![first(id, 0, 50_000)]);
        gateway.step(10_000, vec![ended(id, 0, Outcome::Completed, true)]);
    }
}

#[test]
fn session_returns_to_its_cache() {
    let mut set = settings();
    set.classes[0].first_token_objective_per_1000_prompt_tokens = Span::from_millis(100);
    let mut gateway = Gateway::new(set, 6);
    let turn = |id| Arrival {
        session: Some(77),
        prompt_tokens: 4_000,
        ..arrival(id)
    };
    let home = sends(&gateway.ask(2_000, turn(1)))[0].1;
    gateway.step(500_000, vec![first(1, 0, 480_000)]);
    gateway.step(300_000, vec![ended(1, 0, Outcome::Completed, true)]);
    for id in 2..8 {
        assert_eq!(sends(&gateway.ask(2_000_000, turn(id))), [(id, home)]);
        gateway.step(100_000, vec![first(id, 0, 60_000)]);
        gateway.step(100_000, vec![ended(id, 0, Outcome::Completed, true)]);
    }
}

#[test]
fn draining_replicas_get_nothing_new() {
    for state in [EndpointState::Draining, EndpointState::Removed] {
        let mut gateway = Gateway::new(settings(), 1);
        gateway.step(
            2_000,
            vec![list(
                EndpointListKind::Partial,
                vec![ReplicaEntry { state, ..entry(0) }],
            )],
        );
        let actions = gateway.ask(2_000, arrival(1));
        assert!(sends(&actions).is_empty());
        // and the request gets its answer at once: the list that has come names nobody who could
        // take it
        assert!(refused(&actions, 1), "{actions:?}");
    }
    // absent from a full list is gone too
    let mut gateway = Gateway::new(settings(), 2);
    gateway.step(
        2_000,
        vec![list(EndpointListKind::Complete, vec![entry(1)])],
    );
    assert_eq!(sends(&gateway.ask(2_000, arrival(1))), [(1, 1)]);
}

#[test]
fn unsafe_retry_needs_unrun_attempt() {
    let mut set = settings();
    set.classes[0].idempotency = Idempotency::NonIdempotent;
    for (outcome, again) in [
        (Outcome::Rejected, true),
        (Outcome::ConnectFailed, true),
        (Outcome::ConnectionReset, false),
    ] {
        let mut gateway = Gateway::new(set.clone(), 2);
        gateway.ask(2_000, arrival(1));
        let actions = gateway.step(2_000, vec![ended(1, 0, outcome, false)]);
        assert_eq!(!sends(&actions).is_empty(), again, "{outcome:?}");
        assert_eq!(failed(&actions, 1), !again, "{outcome:?}");
        assert!(!refused(&actions, 1));
    }
}

#[test]
fn keyed_retry_stays_in_its_window() {
    let mut set = settings();
    set.classes[0] = Class {
        idempotency: Idempotency::Keyed,
        deduplication_scope: DeduplicationScope::Cell,
        ..set.classes[0].clone()
    };
    let fleet = |cells: [u32; 2]| {
        let entries = cells.iter().enumerate().map(|(k, &cell)| ReplicaEntry {
            cell,
            ..entry(k as u64)
        });
        list(EndpointListKind::Persisted, entries.collect())
    };
    let run = |cells, window| {
        let mut set = set.clone();
        set.classes[0].deduplication_window = Span::from_micros(window);
        let mut gateway = Gateway::new(set, 0);
        gateway.step(0, vec![fleet(cells)]);
        gateway.ask(2_000, arrival(1));
        gateway.step(50_000, vec![ended(1, 0, Outcome::Error, false)])
    };
    assert_eq!(sends(&run([3, 3], 5_000_000)).len(), 1);
    assert!(sends(&run([3, 4], 5_000_000)).is_empty());
    assert!(sends(&run([3, 3], 40_000)).is_empty());
}

#[test]
fn deadline_timeout_is_answered() {
    let mut gateway = Gateway::new(settings(), 1);
    gateway.ask(2_000, arrival(1));
    let actions = gateway.step(1_000_000, vec![ended(1, 0, Outcome::Timeout, false)]);
    assert!(refused(&actions, 1));
}

#[test]
fn warming_replica_gets_its_part() {
    let set = Settings {
        router_count: 4,
        ..settings()
    };
    let mut gateway = Gateway::new(set, 4);
    let mut id = 0;
    let mut cold = [0; 2];
    for (second, count) in cold.iter_mut().enumerate() {
        if second == 1 {
            let started = ReplicaEntry {
                started_at: gateway.now,
                ..entry(9)
            };
            gateway.step(1_000, vec![list(EndpointListKind::Partial, vec![started])]);
        }
        for _ in 0..100 {
            id += 1;
            *count += sends(&gateway.ask(10_000, arrival(id)))
                .iter()
                .filter(|s| s.1 == 9)
                .count();
            gateway.step(1_000, vec![first(id, 0, 1_000)]);
            gateway.step(1_000, vec![ended(id, 0, Outcome::Completed, true)]);
        }
    }
    // a fifth replica's part of 100 requests is 20; a cold one's is half of four times a tenth of
    // that
    assert_eq!(cold[0], 0);
    assert!((1..=6).contains(&cold[1]), "{cold:?}");
}

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
        // tenant 1 keeps within its share, tenant 0 sends five times as much; nothing is answered
        // in time
        let tenant = u32::from(id % 6 == 0);
        let actions = gateway.ask(
            10_000,
            Arrival {
                tenant,
                ..arrival(id)
            },
        );
        shed[tenant as usize] += usize::from(refused(&actions, id));
        for (sent, _) in sends(&actions) {
            gateway.step(0, vec![ended(sent, 0, Outcome::Rejected, false)]);
        }
    }
    assert!(shed[0] > 500 && shed[1] * 5 < shed[0], "{shed:?}");
}

#[test]
fn objective_grows_with_work() {
    let mut set = settings();
    set.classes[0].first_token_objective_stretch = 2.0;
    for (hint, late) in [(0, true), (1_000_000, false), (90_000_000, false)] {
        let mut gateway = Gateway::new(set.clone(), 0);
        gateway.ask(
            0,
            Arrival {
                expected_work: Span::from_micros(hint),
                ..arrival(1)
            },
        );
        assert_eq!(refused(&gateway.step(1_500_000, vec![]), 1), late, "{hint}");
        gateway.step(3_600_000, vec![]);
        assert!(gateway.step(0, vec![]).is_empty());
    }
}

#[test]
fn client_retries_are_shed_first() {
    let mut gateway = Gateway::new(settings(), 1);
    let mut shed = [0, 0];
    for id in 1..2_000 {
        let repeat = id % 2 == 0;
        let actions = gateway.ask(
            10_000,
            Arrival {
                is_retry: repeat,
                ..arrival(id)
            },
        );
        shed[usize::from(repeat)] += usize::from(refused(&actions, id));
        for (sent, _) in sends(&actions) {
            gateway.step(0, vec![ended(sent, 0, Outcome::Rejected, false)]);
        }
    }
    assert!(shed[1] > 500 && shed[1] > shed[0], "{shed:?}");
}

#[test]
fn admission_recovers_after_shedding() {
    // guards against an admitted part that grows by outcomes: few admitted would mean few to grow
    // by
    let mut gateway = Gateway::new(settings(), 2);
    for id in 1..400 {
        let mut sent = sends(&gateway.ask(10_000, arrival(id)));
        for attempt in 0..3 {
            let full = sent.iter().map(|s| {
                ended(
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
        let mut sent = sends(&gateway.ask(500_000, arrival(id)));
        served += sent.len();
        for (id, _) in sent.drain(..) {
            gateway.step(50_000, vec![first(id, 0, 50_000)]);
            gateway.step(50_000, vec![ended(id, 0, Outcome::Completed, true)]);
        }
    }
    assert!(served > 90, "{served}");
}

#[test]
fn list_polls_have_jitter() {
    let set = Settings {
        endpoints_on_request: true,
        staleness_bound: Span::from_secs(8),
        ..settings()
    };
    let mut times = Vec::new();
    for seed in 0..20 {
        let mut balancer = stilespan::Balancer::new(set.clone(), seed, START);
        let mut now = START;
        let mut asked = |now: &mut Timestamp, events: Vec<Event>| {
            let begin = *now;
            for k in 0..10_000 {
                let mut actions = Vec::new();
                balancer.step(*now, if k == 0 { &events } else { &[] }, &mut actions);
                if actions.contains(&Action::WatchEndpoints) {
                    return *now - begin;
                }
                *now = *now + Span::from_millis(2);
            }
            panic!("never asked");
        };
        let start = asked(&mut now, vec![]);
        assert!(start <= Span::from_secs(2));
        times.push(start);
        for _ in 0..5 {
            assert!(
                asked(&mut now, vec![list(EndpointListKind::Error, vec![])]) <= Span::from_secs(8)
            );
        }
    }
    times.sort();
    times.dedup();
    assert!(times.len() > 10, "in step: {times:?}");
}

#[test]
fn unknown_ids_change_nothing() {
    let mut gateway = Gateway::new(settings(), 0);
    let events = vec![
        ended(5, 0, Outcome::Completed, true),
        first(5, 3, 100),
        Event::ClientDisconnected {
            request: RequestId(5),
        },
        Event::TimerFired { timer_id: 99 },
        Event::HealthCheckEnded(HealthCheckEnded {
            replica: ReplicaId(8),
            outcome: Outcome::Completed,
            elapsed: Span::from_micros(5),
            load_report: None,
        }),
        Event::PeerMessage {
            from: 3,
            bytes: [1, 2].into(),
        },
    ];
    assert!(gateway.step(1_000, events).is_empty());
    // with no replica at all a request is still answered in time
    assert!(gateway.ask(1_000, arrival(1)).is_empty());
    assert!(refused(&gateway.step(1_000_000, vec![]), 1));
    // an outcome of an attempt that does not exist, and one told twice
    gateway.step(0, vec![list(EndpointListKind::Complete, vec![entry(0)])]);
    gateway.ask(10_000, arrival(2));
    assert!(
        gateway
            .step(1_000, vec![ended(2, 7, Outcome::Completed, false)])
            .is_empty()
    );
    gateway.step(
        1_000,
        vec![
            ended(2, 0, Outcome::Completed, true),
            ended(2, 0, Outcome::Completed, true),
        ],
    );
}

#[test]
fn single_miss_sheds_little() {
    // guards against a single failing replica that has a third of the arrivals turned away for
    // seconds
    let mut gateway = Gateway::new(settings(), 4);
    let mut refusals = 0;
    for id in 0..120 {
        let actions = gateway.ask(250_000, arrival(id));
        if refused(&actions, id) {
            refusals += 1;
            continue;
        }
        let outcome = if id == 80 {
            Outcome::Error
        } else {
            Outcome::Completed
        };
        if outcome == Outcome::Completed {
            gateway.step(50_000, vec![first(id, 0, 50_000)]);
        }
        gateway.step(
            10_000,
            vec![ended(id, 0, outcome, outcome == Outcome::Completed)],
        );
    }
    assert!(refusals <= 1, "{refusals} of 120 refused for one error");
}

#[test]
fn cached_long_prompt_meets_its_deadline() {
    let mut gateway = Gateway::new(settings(), 2);
    let serve = |gateway: &mut Gateway, request: Arrival, elapsed: u64| {
        let id = request.request.0;
        let sent = sends(&gateway.ask(2_000, request));
        gateway.step(elapsed, vec![first(id, 0, elapsed)]);
        gateway.step(10_000, vec![ended(id, 0, Outcome::Completed, true)]);
        sent
    };
    // 0.2 s for 500 tokens all over the fleet: the aim of 1 s is up at about 2,500
    for id in 0..60 {
        serve(
            &mut gateway,
            Arrival {
                prompt_tokens: 250 + 250 * (id % 3),
                ..arrival(id)
            },
            100_000 + 100_000 * u64::from(id % 3),
        );
    }
    // a session whose every turn adds 500 tokens
    for turn in 1..10 {
        let request = Arrival {
            session: Some(9),
            prompt_tokens: 500 * turn,
            ..arrival(100 + turn)
        };
        assert_eq!(
            serve(&mut gateway, request, 200_000).len(),
            1,
            "turn {turn}"
        );
    }
    // a prompt as long that nobody keeps is refused at once
    let actions = gateway.ask(
        2_000,
        Arrival {
            prompt_tokens: 4_500,
            ..arrival(200)
        },
    );
    assert!(refused(&actions, 200), "{actions:?}");
}

/// Guards against replicas that turn some requests away while the others have room: what is served
/// elsewhere in time is no reason to shed.
#[test]
fn successful_retry_sheds_nothing() {
    let mut gateway = Gateway::new(settings(), 6);
    let mut turned_away = 0;
    for id in 1..=300 {
        let mut actions = gateway.ask(50_000, arrival(id));
        assert!(!refused(&actions, id), "request {id} after {turned_away}");
        for attempt in 0.. {
            let Some(&(_, replica)) = sends(&actions).first() else {
                break;
            };
            if attempt < 2 && (u64::from(id) + replica).is_multiple_of(5) {
                turned_away += 1;
                actions = gateway.step(5_000, vec![ended(id, attempt, Outcome::Rejected, false)]);
            } else {
                gateway.step(5_000, vec![first(id, attempt, 10_000)]);
                actions = gateway.step(1_000, vec![ended(id, attempt, Outcome::Completed, true)]);
            }
        }
    }
    assert!(turned_away > 20, "{turned_away}");
}

/// Guards against memory, and time spent, that grow with every replica there ever was.
#[test]
fn withdrawn_replicas_free_memory() {
    let mut gateway = Gateway::new(settings(), 2);
    for k in 2..500 {
        let gone = ReplicaEntry {
            state: EndpointState::Removed,
            ..entry(k - 2)
        };
        gateway.step(
            20_000,
            vec![list(EndpointListKind::Partial, vec![gone, entry(k)])],
        );
        let id = k as u32;
        let sent = sends(&gateway.ask(2_000, arrival(id)));
        assert!(sent.iter().all(|s| s.1 == k || s.1 == k - 1), "{sent:?}");
        gateway.step(5_000, vec![first(id, 0, 10_000)]);
        gateway.step(1_000, vec![ended(id, 0, Outcome::Completed, true)]);
    }
    assert!(
        gateway.balancer.tracked_replicas() <= 4,
        "{}",
        gateway.balancer.tracked_replicas()
    );
}

/// Guards against a replica left out for as long as a stream had run that came back spoilt.
#[test]
fn late_stream_failure_keeps_replica() {
    let mut gateway = Gateway::new(settings(), 1);
    assert_eq!(sends(&gateway.ask(2_000, arrival(1))).len(), 1);
    gateway.step(50_000, vec![first(1, 0, 50_000)]);
    let (request, elapsed, outcome) = (RequestId(1), Span::from_secs(4), Outcome::ConnectionReset);
    let spoilt = Event::AttemptEnded(AttemptEnded {
        request,
        attempt: 0,
        outcome,
        elapsed,
        cached_tokens: None,
        request_complete: true,
        load_report: None,
    });
    gateway.step(3_950_000, vec![spoilt]);
    gateway.step(1_500_000, vec![]);
    assert_eq!(sends(&gateway.ask(2_000, arrival(2))).len(), 1);
}
