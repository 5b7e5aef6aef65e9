//! Each action must be written as the line that the protocol defines for it.

use stilespan::interface::{ReplicaId, RequestId, Timestamp, UnservedReason};

use super::*;
use crate::message::MessageReader;

/// Actions of instance 3 on request 5 and replica `replica_a`, each with its expected line.
fn actions_with_lines() -> [(Action, &'static str); 9] {
    let (request, replica) = (RequestId(5), ReplicaId::from_name("replica_a"));
    let (reason, retry_after) = (UnservedReason::Shed, Some(Span::from_millis(250)));
    let reject = |retry_after| Action::Reject {
        request,
        retry_after,
        reason,
        available_replicas: 0,
    };
    [
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
        (reject(retry_after), "REFUSE i=3 ref=5 retry-in=0.250000"),
        (reject(None), "REFUSE i=3 ref=5"),
        (
            Action::Fail {
                request,
                reason,
                available_replicas: 0,
            },
            "ABORT i=3 ref=5",
        ),
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
    ]
}

#[test]
fn actions_are_written_as_protocol_lines() {
    let mut reader = MessageReader::default();
    reader.parse("CLOCK now=8.41225 seq=1").unwrap();
    reader.parse("DIRECTORY sheet=0 members-list=1").unwrap();
    reader
        .parse("REPLICA lifecycle=in_service replica=replica_a")
        .unwrap();
    for (action, line) in actions_with_lines() {
        let mut reply = String::new();
        write_action(&mut reply, reader.replica_names(), 3, &action);
        assert_eq!(reply, format!("{line}\n"));
    }
}
