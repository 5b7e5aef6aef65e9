//! A process that was suspended and resumes late. Here the thread is blocked, which is the same to
//! the core.

mod common;

use std::time::Instant;

use common::scripted_core::*;
use stilespan::core::actor::{Core, CoreOptions};
use stilespan::core::{DiscoveryCommand, EndpointsUpdate, Message, UpstreamCommand};
use stilespan::interface::{Class, EndpointListKind, EndpointState, ReplicaId, Settings};
use tokio::sync::mpsc;
use tokio::time::{Duration, sleep, timeout};

/// A core with two endpoints, its mailbox, the commands to discovery and those to the upstreams.
async fn start_core() -> (
    stilespan::core::CoreHandle,
    mpsc::Sender<Message>,
    mpsc::Receiver<DiscoveryCommand>,
    OpenedUpstreams,
) {
    let opened = OpenedUpstreams::default();
    let (discovery, discovery_commands) = mpsc::channel(4);
    let settings = Settings {
        classes: vec![Class::default()],
        ..Settings::default()
    };
    let (handle, messages) = Core::start(CoreOptions {
        settings,
        ..core_options(ScriptedConnector(opened.clone()), discovery)
    });
    let endpoints = vec![endpoint(1, "127.0.0.1:1", 0), endpoint(2, "127.0.0.1:2", 0)];
    messages
        .send(Message::EndpointsUpdated(EndpointsUpdate {
            kind: EndpointListKind::Complete,
            endpoints,
        }))
        .await
        .unwrap();
    while opened.lock().unwrap().len() < 2 {
        sleep(Duration::from_millis(1)).await;
    }
    (handle, messages, discovery_commands, opened)
}

/// The next command to the discovery actor.
async fn next_command(
    discovery_commands: &mut mpsc::Receiver<DiscoveryCommand>,
) -> Option<DiscoveryCommand> {
    timeout(Duration::from_secs(5), discovery_commands.recv())
        .await
        .expect("a command for the discovery actor")
}

/// Attempts that each upstream was commanded so far.
fn sent(opened: &OpenedUpstreams) -> Vec<(ReplicaId, usize)> {
    let mut opened = opened.lock().unwrap();
    let attempts = |commands: &mut mpsc::Receiver<UpstreamCommand>| {
        std::iter::from_fn(|| commands.try_recv().ok())
            .filter(|o| matches!(o, UpstreamCommand::StartAttempt(_)))
            .count()
    };
    opened
        .iter_mut()
        .map(|(replica, commands)| (*replica, attempts(commands)))
        .collect()
}

/// Requests that waited while the process was suspended are not sent before the endpoint list is
/// refreshed, and then not to the server that was drained meanwhile.
#[tokio::test]
async fn requests_wait_for_refreshed_endpoints() {
    let (handle, messages, mut discovery_commands, opened) = start_core().await;
    let mut pending = Vec::new();
    std::thread::sleep(Duration::from_millis(700));
    for _ in 0..8 {
        pending.push(
            handle
                .submit(core_request(5000))
                .await
                .expect("the core runs"),
        );
    }
    assert_eq!(
        next_command(&mut discovery_commands).await,
        Some(DiscoveryCommand::Refresh)
    );
    sleep(Duration::from_millis(50)).await;
    assert!(
        sent(&opened).iter().all(|s| s.1 == 0),
        "sent before the refresh"
    );
    let mut drained = endpoint(1, "127.0.0.1:1", 0);
    drained.entry.state = EndpointState::Draining;
    let endpoints = vec![drained, endpoint(2, "127.0.0.1:2", 0)];
    messages
        .send(Message::EndpointsUpdated(EndpointsUpdate {
            kind: EndpointListKind::Complete,
            endpoints,
        }))
        .await
        .unwrap();
    sleep(Duration::from_millis(100)).await;
    let sent = sent(&opened);
    assert!(sent[0].1 == 0 && sent[1].1 > 0, "{sent:?}");
}

/// Where discovery does not answer, or fails, the list from before the suspension is used.
#[tokio::test]
async fn failed_refresh_ends_suspension() {
    for answered in [true, false] {
        let (handle, messages, mut discovery_commands, opened) = start_core().await;
        std::thread::sleep(Duration::from_millis(700));
        let _pending = handle
            .submit(core_request(5000))
            .await
            .expect("the core runs");
        assert_eq!(
            next_command(&mut discovery_commands).await,
            Some(DiscoveryCommand::Refresh)
        );
        if answered {
            let failed = EndpointsUpdate {
                kind: EndpointListKind::Error,
                endpoints: Vec::new(),
            };
            messages
                .send(Message::EndpointsUpdated(failed))
                .await
                .unwrap();
        }
        let woke = Instant::now();
        while sent(&opened).iter().all(|s| s.1 == 0) {
            assert!(
                woke.elapsed() < Duration::from_secs(5),
                "answered: {answered}"
            );
            sleep(Duration::from_millis(5)).await;
        }
    }
}
