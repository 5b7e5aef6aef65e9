//! Where two events cross, at the core: a scripted connector holds call attempts before their first
//! byte, and the test decides what comes first. Each row of `docs/design/crossings.md` that needs
//! no socket has its test here.

mod common;

use std::time::Instant;

use common::scripted::*;
use rstest::rstest;
use stilespan::core::actor::{Core, CoreOptions};
use stilespan::core::{
    Answer, Attempt, AttemptResult, CoreHandle, EndpointsUpdate, Message, StartDecision,
    UpstreamCommand,
};
use stilespan::interface::{
    Class, EndpointListKind, EndpointState, Idempotency, Outcome, ReplicaId, Settings, Span,
};
use tokio::sync::mpsc;
use tokio::time::{Duration, sleep, timeout};

const SOON: Duration = Duration::from_secs(5);

/// A core with so many endpoints, and the commands to their upstreams.
struct Running {
    handle: CoreHandle,
    messages: mpsc::Sender<Message>,
    opened: Opened,
    _asked: mpsc::Receiver<stilespan::core::DiscoveryCommand>,
}

async fn running(hosts: u64, class: Class) -> Running {
    let opened = Opened::default();
    let (resolver, asked) = mpsc::channel(4);
    let settings = Settings {
        classes: vec![class],
        max_attempts: 3,
        cancellation: true,
        ..Settings::default()
    };
    let parts = CoreOptions {
        settings,
        attempt_start_timeout: Duration::from_secs(20),
        ..parts(Scripted(opened.clone()), resolver)
    };
    let (handle, messages) = Core::start(parts);
    let running = Running {
        handle,
        messages,
        opened,
        _asked: asked,
    };
    running
        .list(
            EndpointListKind::Complete,
            (1..=hosts)
                .map(|id| host(id, &format!("127.0.0.1:{id}"), 0))
                .collect(),
        )
        .await;
    while running.opened.lock().unwrap().len() < hosts as usize {
        sleep(Duration::from_millis(1)).await;
    }
    running
}

impl Running {
    async fn list(&self, kind: EndpointListKind, hosts: Vec<stilespan::core::Endpoint>) {
        self.messages
            .send(Message::EndpointsUpdated(EndpointsUpdate {
                kind,
                endpoints: hosts,
            }))
            .await
            .unwrap();
    }

    /// The next attempt that is ordered, and where.
    async fn attempt(&self) -> (ReplicaId, Attempt) {
        let next = async {
            loop {
                for (replica, orders) in self.opened.lock().unwrap().iter_mut() {
                    while let Ok(order) = orders.try_recv() {
                        if let UpstreamCommand::StartAttempt(attempt) = order {
                            return (*replica, attempt);
                        }
                    }
                }
                sleep(Duration::from_millis(1)).await;
            }
        };
        timeout(SOON, next).await.expect("an attempt is ordered")
    }

    async fn ended(&self, attempt: &Attempt, outcome: Outcome) {
        self.messages
            .send(Message::AttemptEnded {
                id: attempt.id,
                at: Instant::now(),
                result: AttemptResult::from(outcome),
            })
            .await
            .unwrap();
    }
}

/// A server is drained, is gone, or is missing from a complete list while an attempt waits for its
/// connection there.
#[rstest]
#[case::drained(EndpointListKind::Partial, Some(EndpointState::Draining))]
#[case::gone(EndpointListKind::Partial, Some(EndpointState::Removed))]
#[case::drained_in_complete_list(EndpointListKind::Complete, Some(EndpointState::Draining))]
#[case::missing_from_complete_list(EndpointListKind::Complete, None)]
#[tokio::test]
async fn unstarted_attempt_leaves_drained_server(
    #[case] kind: EndpointListKind,
    #[case] state: Option<EndpointState>,
) {
    let core = running(2, Class::default()).await;
    let _ticket = core.handle.submit(rpc(5000)).await.unwrap();
    let (at, mut waits) = core.attempt().await;
    let hosts = (1..=2)
        .map(|id| host(id, &format!("127.0.0.1:{id}"), 0))
        .filter_map(|mut host| {
            if host.entry.replica == at {
                host.entry.state = state?;
            }
            Some(host)
        });
    core.list(kind, hosts.collect()).await;
    let (other, attempt) = core.attempt().await;
    assert_ne!(other, at);
    assert_ne!(
        waits.gate.try_start(Instant::now()),
        StartDecision::Start,
        "started at a drained server"
    );
    assert!(
        timeout(SOON, &mut waits.cancelled)
            .await
            .expect("cancelled")
            .is_err()
    );
    assert_eq!(attempt.gate.try_start(Instant::now()), StartDecision::Start);
}

/// A started attempt stays where it is: a draining server finishes what it has in flight.
#[tokio::test]
async fn started_attempt_stays_at_drained_server() {
    let core = running(2, Class::default()).await;
    let _ticket = core.handle.submit(rpc(5000)).await.unwrap();
    let (at, mut started) = core.attempt().await;
    assert_eq!(started.gate.try_start(Instant::now()), StartDecision::Start);
    let mut drained = host(at.0, &format!("127.0.0.1:{}", at.0), 0);
    drained.entry.state = EndpointState::Draining;
    core.list(EndpointListKind::Partial, vec![drained]).await;
    assert!(
        timeout(Duration::from_millis(100), &mut started.cancelled)
            .await
            .is_err(),
        "cancelled"
    );
}

/// A retry that was ordered within its window, and whose connection comes up after it.
#[tokio::test]
async fn no_retry_starts_after_its_window() {
    let class = Class {
        idempotency: Idempotency::Keyed,
        deduplication_window: Span::from_millis(400),
        ..Class::default()
    };
    let core = running(2, class).await;
    let _ticket = core.handle.submit(rpc(5000)).await.unwrap();
    let (_, first) = core.attempt().await;
    let sent = Instant::now();
    assert_eq!(first.gate.try_start(sent), StartDecision::Start);
    core.ended(&first, Outcome::ConnectionReset).await;
    let (_, repeat) = core.attempt().await;
    assert_ne!(
        repeat.gate.try_start(sent + Duration::from_millis(401)),
        StartDecision::Start,
        "started after its window"
    );
    assert_eq!(
        repeat.gate.try_start(sent + Duration::from_millis(300)),
        StartDecision::Start,
        "not started in its window"
    );
}

/// An attempt without a connection by its deadline has never run: the client may retry, also where a
/// second run would do harm.
#[rstest]
#[case::not_started(false)]
#[case::started(true)]
#[tokio::test]
async fn timeout_before_first_byte_never_ran(#[case] starts: bool) {
    let class = Class {
        idempotency: Idempotency::NonIdempotent,
        first_token_objective: Span::from_millis(200),
        ..Class::default()
    };
    let core = running(1, class).await;
    let mut ticket = core.handle.submit(rpc(300)).await.unwrap();
    let (_, attempt) = core.attempt().await;
    if starts {
        assert_eq!(attempt.gate.try_start(Instant::now()), StartDecision::Start);
    }
    let answer = timeout(SOON, ticket.answer()).await.expect("an answer");
    match answer {
        Answer::Rejected {
            forwarded: sent, ..
        } => assert!(!starts && !sent),
        Answer::Failed {
            forwarded: sent, ..
        } => assert!(starts && sent),
        Answer::Started(_) => panic!("nothing has answered"),
    }
}

/// The process is suspended between an attempt's order and its first byte.
#[tokio::test]
async fn no_attempt_from_before_stall_starts() {
    // nothing else ends the attempt as it wakes
    let class = Class {
        first_token_objective: Span::from_secs(10),
        deadline: Span::from_secs(15),
        ..Class::default()
    };
    let core = running(1, class).await;
    let _ticket = core.handle.submit(rpc(15_000)).await.unwrap();
    let (_, mut attempt) = core.attempt().await;
    std::thread::sleep(Duration::from_millis(700));
    assert!(
        timeout(SOON, &mut attempt.cancelled)
            .await
            .expect("cancelled")
            .is_err()
    );
    assert_ne!(attempt.gate.try_start(Instant::now()), StartDecision::Start);
}

/// Two outcomes of one attempt, in either order, and one that comes after its attempt has ended:
/// the first counts.
#[rstest]
#[case::reset_then_rejected([Outcome::ConnectionReset, Outcome::Rejected])]
#[case::rejected_then_reset([Outcome::Rejected, Outcome::ConnectionReset])]
#[case::twice_the_same([Outcome::Error, Outcome::Error])]
#[tokio::test]
async fn attempt_has_one_outcome(#[case] outcomes: [Outcome; 2]) {
    let core = running(2, Class::default()).await;
    let _ticket = core.handle.submit(rpc(5000)).await.unwrap();
    let (_, first) = core.attempt().await;
    assert_eq!(first.gate.try_start(Instant::now()), StartDecision::Start);
    for outcome in outcomes {
        core.ended(&first, outcome).await;
    }
    let (_, mut second) = core.attempt().await;
    assert_eq!(second.id.attempt, 1);
    assert_eq!(second.gate.try_start(Instant::now()), StartDecision::Start);
    // the late outcome of the first is none of the second, and orders no third beside it
    core.ended(&first, Outcome::ConnectionReset).await;
    assert!(
        timeout(Duration::from_millis(100), &mut second.cancelled)
            .await
            .is_err(),
        "cancelled"
    );
    let third = timeout(Duration::from_millis(100), core.attempt()).await;
    assert!(third.is_err(), "a second attempt at once");
}

/// A client that leaves while its attempt waits for a connection, and between two attempts.
#[rstest]
#[case::waiting_for_a_connection(false)]
#[case::between_attempts(true)]
#[tokio::test]
async fn no_attempt_for_disconnected_client(#[case] between: bool) {
    let core = running(2, Class::default()).await;
    let ticket = core.handle.submit(rpc(5000)).await.unwrap();
    let (_, attempt) = core.attempt().await;
    if between {
        assert_eq!(attempt.gate.try_start(Instant::now()), StartDecision::Start);
        // the outcome and the disconnection are handled in one step
        core.messages
            .try_send(Message::AttemptEnded {
                id: attempt.id,
                at: Instant::now(),
                result: Outcome::ConnectionReset.into(),
            })
            .unwrap();
        drop(ticket);
        if let Ok((_, late)) = timeout(Duration::from_millis(100), core.attempt()).await {
            sleep(Duration::from_millis(50)).await;
            assert_ne!(
                late.gate.try_start(Instant::now()),
                StartDecision::Start,
                "started for a disconnected client"
            );
        }
    } else {
        drop(ticket);
        sleep(Duration::from_millis(50)).await;
        assert_ne!(
            attempt.gate.try_start(Instant::now()),
            StartDecision::Start,
            "started for a disconnected client"
        );
    }
}
