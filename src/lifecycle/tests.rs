use std::time::{SystemTime, UNIX_EPOCH};

use tokio::sync::mpsc;

use super::*;
use crate::core::Connector;
use crate::core::actor::{Core, CoreOptions};
use crate::core::{Endpoint, UpstreamCommand};
use crate::interface::{ReplicaId, Settings};
use crate::ops::metrics::Metrics;

const HOUR: Duration = Duration::from_secs(3_600);

/// A connector for a core that sends no requests.
struct UnusedConnector;

impl Connector for UnusedConnector {
    fn open(&self, _: ReplicaId, _: &Endpoint) -> mpsc::Sender<UpstreamCommand> {
        mpsc::channel(1).0
    }
}

fn unix_time() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap()
}

/// A wall clock that was set forward by an hour after the process started.
fn stepped_wall_clock() -> Duration {
    unix_time() + HOUR
}

/// Guards against stored times that are off after the wall clock was set: times in the file and in
/// messages to other processes must be converted with the wall clock at the time of writing.
#[tokio::test]
async fn stored_times_are_wall_clock() {
    let clock = Clock::start().with_wall_clock(stepped_wall_clock);
    let (core, _messages) = Core::start(CoreOptions {
        settings: Settings::default(),
        seed: 1,
        max_requests_in_flight: 1,
        attempt_start_timeout: Duration::ZERO,
        connector: Box::new(UnusedConnector),
        discovery: mpsc::channel(1).0,
        exclusions: Vec::new(),
        metrics: Metrics::new(&[]).into(),
    });
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("orders");
    let draining = watch::channel(None).0;
    let lifecycle = Lifecycle::new(
        core,
        draining,
        MaintenanceState::default(),
        Some(file.clone()),
        clock,
        true,
    );
    let before = stepped_wall_clock().as_micros() as u64;
    let (peer, _) = lifecycle.register_peer(PeerState::Serving).await;
    let command = AdminCommand::Disable("s-1".into());
    assert!(
        lifecycle
            .execute_for_peer(command, CommandId::random(), peer.id)
            .await
    );
    let after = stepped_wall_clock().as_micros() as u64 + 1_000;
    let stored = MaintenanceState::parse(&std::fs::read(&file).unwrap()).unwrap();
    // the copy is written after the answer, so the folder must not be removed before
    let copy = AtomicFile::new(file).copy().to_path_buf();
    let copied = async {
        while !copy.exists() {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    };
    tokio::time::timeout(Duration::from_secs(60), copied)
        .await
        .expect("the copy of the file is written");
    let copied = MaintenanceState::parse(&std::fs::read(&copy).unwrap()).unwrap();
    folder.close().unwrap();
    for state in [
        stored,
        copied,
        lifecycle.register_peer(PeerState::Serving).await.1,
    ] {
        let excluded_at = state.exclusions[0].excluded_at.as_micros();
        assert!(
            (before - 1_000..=after).contains(&excluded_at),
            "{excluded_at} is not between {before} and {after}"
        );
    }
}
