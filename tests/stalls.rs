//! A process that was suspended and wakes late. Here the thread is blocked, which to the core is the
//! same.

mod common;

use std::time::Instant;

use common::scripted::*;
use stilespan::core::actor::{Core, CoreOptions};
use stilespan::core::{DiscoveryCommand, EndpointsUpdate, Message, UpstreamCommand};
use stilespan::interface::{Class, EndpointListKind, EndpointState, ReplicaId, Settings};
use tokio::sync::mpsc;
use tokio::time::{Duration, sleep, timeout};

/// A core with two endpoints, its mailbox, the commands to discovery and those to the upstreams.
async fn running() -> (
    stilespan::core::CoreHandle,
    mpsc::Sender<Message>,
    mpsc::Receiver<DiscoveryCommand>,
    Opened,
) {
    let opened = Opened::default();
    let (resolver, asked) = mpsc::channel(4);
    let settings = Settings {
        classes: vec![Class::default()],
        ..Settings::default()
    };
    let (handle, messages) = Core::start(CoreOptions {
        settings,
        ..parts(Scripted(opened.clone()), resolver)
    });
    let hosts = vec![host(1, "127.0.0.1:1", 0), host(2, "127.0.0.1:2", 0)];
    messages
        .send(Message::EndpointsUpdated(EndpointsUpdate {
            kind: EndpointListKind::Complete,
            endpoints: hosts,
        }))
        .await
        .unwrap();
    while opened.lock().unwrap().len() < 2 {
        sleep(Duration::from_millis(1)).await;
    }
    (handle, messages, asked, opened)
}

/// The next command to the discovery actor.
async fn order(asked: &mut mpsc::Receiver<DiscoveryCommand>) -> Option<DiscoveryCommand> {
    timeout(Duration::from_secs(5), asked.recv())
        .await
        .expect("a command for the discovery actor")
}

/// Attempts that each upstream was commanded so far.
fn sent(opened: &Opened) -> Vec<(ReplicaId, usize)> {
    let mut opened = opened.lock().unwrap();
    let attempts = |orders: &mut mpsc::Receiver<UpstreamCommand>| {
        std::iter::from_fn(|| orders.try_recv().ok())
            .filter(|o| matches!(o, UpstreamCommand::StartAttempt(_)))
            .count()
    };
    opened
        .iter_mut()
        .map(|(replica, orders)| (*replica, attempts(orders)))
        .collect()
}

/// Requests that waited while the process was suspended are not sent before the endpoint list is
/// refreshed, and then not to the server that was drained meanwhile.
#[tokio::test]
async fn requests_wait_for_refreshed_endpoints() {
    let (handle, messages, mut asked, opened) = running().await;
    let mut tickets = Vec::new();
    std::thread::sleep(Duration::from_millis(700));
    for _ in 0..8 {
        tickets.push(handle.submit(rpc(5000)).await.expect("the core runs"));
    }
    assert_eq!(order(&mut asked).await, Some(DiscoveryCommand::Refresh));
    sleep(Duration::from_millis(50)).await;
    assert!(
        sent(&opened).iter().all(|s| s.1 == 0),
        "sent before the refresh"
    );
    let mut drained = host(1, "127.0.0.1:1", 0);
    drained.entry.state = EndpointState::Draining;
    let hosts = vec![drained, host(2, "127.0.0.1:2", 0)];
    messages
        .send(Message::EndpointsUpdated(EndpointsUpdate {
            kind: EndpointListKind::Complete,
            endpoints: hosts,
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
        let (handle, messages, mut asked, opened) = running().await;
        std::thread::sleep(Duration::from_millis(700));
        let _ticket = handle.submit(rpc(5000)).await.expect("the core runs");
        assert_eq!(order(&mut asked).await, Some(DiscoveryCommand::Refresh));
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
