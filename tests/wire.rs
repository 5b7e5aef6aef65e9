//! The wire: what is read, what is written, and what is turned down.

use stilespan::interface::*;
use stilespan::wire::{Line, Reader, parse_settings};

const SETTINGS: &str = r#"{"n-instances": 3, "me": 0, "zone": 1, "period": 0.002, "discovery": "ask", "new-key": [1],
 "classes": [{"objective": 1.2, "deadline": 5.0, "effect": "idempotency_key", "group": "cell", "repeat-window": 4.0,
 "credit": 12.0, "late-worth": 0.5, "streaming": true, "name": "chat"}],
 "tenants": [{"name": "a", "quota-per-s": 30.5, "share": 0.5}],
 "guarantees": {"drain-grace": 2.0, "fall": 1.5, "fall-multiple": 4.0, "must-ask-in": 10.0, "start-capacity": 0.12,
 "warm-after": 23.0}, "limits": {"max-attempts": 3, "cancel": true, "second-copies": true},
 "prices": {"cross-zone": 0.03}, "telemetry": {"how": "answers", "names": ["errors_per_s", "backlog"]},
 "specifics": {"aim-us-per-1000-prompt-tokens": [60000.0], "token-aim": [0.08], "resume": true}}"#;

fn reader() -> Reader {
    let mut reader = Reader::default();
    reader.line("CLOCK now=8.41225 seq=1").unwrap();
    reader
}

fn event(reader: &mut Reader, line: &str) -> Event {
    match reader.line(line) {
        Ok(Line::Event { instance: 3, event }) => event,
        other => panic!("{line}: {other:?}"),
    }
}

#[test]
fn settings_are_read_and_unknown_keys_skipped() {
    let set = parse_settings(SETTINGS).unwrap();
    assert_eq!(
        (
            set.router_count,
            set.zone,
            set.endpoints_on_request,
            set.max_attempts
        ),
        (3, 1, true, 3)
    );
    assert_eq!(
        (set.staleness_bound, set.drain_grace),
        (Span::from_secs(10), Span::from_secs(2))
    );
    let class = &set.classes[0];
    assert_eq!(
        (
            class.first_token_objective,
            class.first_token_objective_per_1000_prompt_tokens,
            class.token_interval_objective
        ),
        (
            Span::from_millis(1_200),
            Span::from_millis(60),
            Span::from_millis(80)
        )
    );
    assert_eq!(
        (
            class.idempotency,
            class.deduplication_scope,
            class.deduplication_window
        ),
        (
            Idempotency::Keyed,
            DeduplicationScope::Cell,
            Span::from_secs(4)
        )
    );
    assert_eq!(
        (set.quotas[0], set.cross_zone_cost, set.stream_resumption),
        (30.5, 0.03, true)
    );
    assert_eq!(
        set.load_report_fields,
        [LoadReportField::ErrorsPerSecond, LoadReportField::Queued]
    );
}

#[test]
fn broken_settings_are_turned_down() {
    for broken in [
        "",
        "{",
        "[]",
        "{}",
        "{\"classes\": []}",
        &SETTINGS.replace("idempotency_key", "maybe"),
    ] {
        assert!(
            parse_settings(broken)
                .unwrap_err()
                .contains("broken settings")
        );
    }
    assert!(parse_settings(&SETTINGS.replace("\"ask\"", "\"guess\"")).is_err());
    assert!(
        parse_settings(&SETTINGS.replace("\"max-attempts\": 3", "\"max-attempts\": -3")).is_err()
    );
}

#[test]
fn each_event_is_read() {
    let mut r = reader();
    let inbound = "INBOUND i=3 ref=1564119492 cls=2 account=1 key=91f03b7c55d20a64 valid-until=8.65225 size-hint=0.012 \
                   shared-prefix=2b8e6401d9f37c10 prompt-len=1800 shared-len=1200 output-cap=256 options=19";
    let Event::RequestReceived(a) = event(&mut r, inbound) else {
        panic!()
    };
    assert_eq!(
        (a.request, a.class, a.tenant),
        (RequestId(1564119492), 2, 1)
    );
    assert_eq!(
        (a.session, a.prefix),
        (Some(0x91f0_3b7c_55d2_0a64), Some(0x2b8e_6401_d9f3_7c10))
    );
    assert_eq!(
        (
            a.prompt_tokens,
            a.shared_prefix_tokens,
            a.max_output_tokens,
            a.expires_at
        ),
        (1800, 1200, 256, Timestamp::from_micros(8_652_250))
    );
    assert!(a.is_retry && a.resumed && a.expected_work == Span::from_millis(12));
    let first = event(
        &mut r,
        "HEADERS i=3 ref=7 trial=1 replica=replica_a took=0.00925",
    );
    assert!(matches!(
        first,
        Event::FirstToken {
            request: RequestId(7),
            attempt: 1,
            elapsed
        } if elapsed == Span::from_micros(9_250)
    ));
    assert!(matches!(
        event(&mut r, "EXPIRED i=3 ref=9"),
        Event::ClientDisconnected {
            request: RequestId(9)
        }
    ));
    assert!(
        matches!(event(&mut r, "ELAPSED mark=9223372036854775808 i=3"), Event::TimerFired { timer_id } if timer_id == 1 << 63)
    );
    let Event::PeerMessage { from: 2, bytes } =
        event(&mut r, "FROM_PEER i=3 src=2 contents=aGkgNw==")
    else {
        panic!()
    };
    assert_eq!(&*bytes, b"hi 7");
    assert!(
        matches!(event(&mut r, "FROM_PEER i=3 src=2 contents=-"), Event::PeerMessage { bytes, .. } if bytes.is_empty())
    );
    let probe = "CHECK_RESULT i=3 took=0.0014 result=0 replica=replica_a telemetry=0.5,3,140,0.4";
    assert!(matches!(
        event(&mut r, probe),
        Event::HealthCheckEnded(HealthCheckEnded {
            outcome: Outcome::Completed,
            load_report: Some(_),
            ..
        })
    ));
    for (code, want) in [
        (0, Outcome::Completed),
        (1, Outcome::Cancelled),
        (4, Outcome::Timeout),
        (8, Outcome::Rejected),
        (9, Outcome::NeverSent),
        (10, Outcome::ConnectionReset),
        (13, Outcome::Error),
        (14, Outcome::ConnectFailed),
    ] {
        let line = format!(
            "RETURNED i=3 ref=1 note=40 closed=1 trial=0 result={code} replica=replica_a took=1e-05"
        );
        let Event::AttemptEnded(AttemptEnded {
            outcome,
            request_complete: true,
            cached_tokens: Some(40),
            elapsed,
            ..
        }) = event(&mut r, &line)
        else {
            panic!("{line}")
        };
        assert_eq!(elapsed, Span::from_micros(10));
        assert_eq!(
            (outcome, outcome.never_ran()),
            (want, [8, 9, 14].contains(&code))
        );
    }
}

#[test]
fn lists_are_numbered_and_numbers_reused_within_a_batch() {
    let mut r = reader();
    for (name, state) in [("replica_a", "in_service"), ("replica_b", "terminating")] {
        r.line("DIRECTORY sheet=15 members-list=1").unwrap();
        r.line(&format!(
            "REPLICA model=0 lifecycle={state} launched=6.1 az=1 replica={name} pod=4 rating=1.5"
        ))
        .unwrap();
        let Event::EndpointsUpdated {
            kind: EndpointListKind::Partial,
            entries,
        } = event(&mut r, "MEMBERSHIP i=3 how=Partial generation=41 sheet=15")
        else {
            panic!()
        };
        assert_eq!(
            (entries[0].replica, entries[0].cell, entries[0].zone),
            (ReplicaId::from_name(name), 4, 1)
        );
        assert_eq!(entries[0].started_at, Timestamp::from_millis(6_100));
    }
    r.line("DIRECTORY sheet=0 members-list=0").unwrap();
    let empty = event(&mut r, "MEMBERSHIP i=3 how=Complete generation=42 sheet=0");
    assert!(
        matches!(empty, Event::EndpointsUpdated { kind: EndpointListKind::Complete, entries } if entries.is_empty())
    );
    let failed = event(&mut r, "MEMBERSHIP i=3 how=Error generation=0");
    assert!(matches!(
        failed,
        Event::EndpointsUpdated {
            kind: EndpointListKind::Error,
            ..
        }
    ));
}

#[test]
fn actions_are_written_as_the_wire_has_them() {
    let mut r = reader();
    r.line("DIRECTORY sheet=0 members-list=1").unwrap();
    r.line("REPLICA lifecycle=in_service replica=replica_a")
        .unwrap();
    let (request, replica) = (RequestId(5), ReplicaId::from_name("replica_a"));
    let actions = [
        (
            Action::StartAttempt {
                request,
                replica,
                timeout: Some(Span::from_millis(80)),
            },
            "DISPATCH i=3 ref=5 replica=replica_a give-up-after=0.080000",
        ),
        (
            Action::StartAttempt {
                request,
                replica,
                timeout: None,
            },
            "DISPATCH i=3 ref=5 replica=replica_a",
        ),
        (
            Action::CancelAttempt {
                request,
                attempt: 1,
            },
            "RETRACT i=3 ref=5 trial=1",
        ),
        (
            Action::Reject {
                request,
                retry_after: Some(Span::from_millis(250)),
            },
            "REFUSE i=3 ref=5 retry-in=0.250000",
        ),
        (
            Action::Reject {
                request,
                retry_after: None,
            },
            "REFUSE i=3 ref=5",
        ),
        (Action::Fail { request }, "ABORT i=3 ref=5"),
        (
            Action::CheckHealth { replica },
            "POLL i=3 replica=replica_a",
        ),
        (Action::WatchEndpoints, "KEEP_INFORMED i=3 on=1"),
        (
            Action::SetTimer {
                at: Timestamp::from_micros(8_912_250),
                timer_id: 77,
            },
            "WAKE_ME i=3 due-at=8.912250 mark=77",
        ),
    ];
    for (action, line) in actions {
        let mut out = String::new();
        r.write(&mut out, 3, &action);
        assert_eq!(out, format!("{line}\n"));
    }
}

#[test]
fn malformed_lines_are_turned_down() {
    for line in [
        "",
        "HELLO i=3",
        "CLOCK now=9 seq=2",
        "EXPIRED i=3",
        "EXPIRED i=3 ref=-1",
        "EXPIRED i=3 ref=+1",
        "EXPIRED i=3 ref=4294967296",
        "EXPIRED i=3 ref=1 ref=1",
        "EXPIRED i=3  ref=1",
        "EXPIRED i=99999999999 ref=1",
        "EXPIRED i=3 ref",
        "HEADERS i=3 ref=1 trial=0 took=soon",
        "HEADERS i=3 ref=1 trial=0 took=-1",
        "HEADERS i=3 ref=1 trial=0 took=NaN",
        "RETURNED i=3 ref=1 trial=0 result=2 took=1",
        "RETURNED i=3 ref=1 trial=0 result=0 took=1 closed=2",
        "RETURNED i=3 ref=1 trial=0 result=0 took=1 telemetry=1,2,3,4,5",
        "RETURNED i=3 ref=1 trial=0 result=0 took=1 telemetry=a",
        "INBOUND i=3 ref=1 cls=0 valid-until=9 key=12",
        "INBOUND i=3 ref=1 cls=0 valid-until=9 key=zzzzzzzzzzzzzzzz",
        "FROM_PEER i=3 src=2 contents=?",
        "MEMBERSHIP i=3 how=Perhaps sheet=0",
        "MEMBERSHIP i=3 how=Partial sheet=4",
        "MEMBERSHIP i=3 how=Partial sheet=77",
        "DIRECTORY sheet=16 members-list=1",
        "REPLICA lifecycle=in_service replica=replica_a",
        "INIT i=3 init-seed=1 config={}",
    ] {
        assert!(reader().line(line).is_err(), "{line}");
    }
    let mut r = reader();
    r.line("DIRECTORY sheet=0 members-list=2").unwrap();
    assert!(
        r.line("REPLICA lifecycle=resting replica=replica_a")
            .is_err()
    );
    assert!(r.line("EOF_BATCH").unwrap_err().contains("REPLICA"));
    assert!(Reader::default().line("EOF_BATCH").is_err());
}
