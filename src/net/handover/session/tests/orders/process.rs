//! One process of a play, with its lifecycle and its side of the link.

use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;

use super::super::*;
use super::COMMANDS;
use crate::core::actor::{Core, CoreOptions};
use crate::core::{Clock, Connector, CoreMessage, Endpoint, EndpointsUpdate, UpstreamCommand};
use crate::interface::{EndpointListKind, ReplicaEntry, ReplicaId, Settings};
use crate::lifecycle::{Lifecycle, PeerState, RegisteredPeer};
use crate::ops::metrics::Metrics;

struct UnusedConnector;

impl Connector for UnusedConnector {
    fn open(&self, _: ReplicaId, _: &Endpoint) -> mpsc::Sender<UpstreamCommand> {
        mpsc::channel(1).0
    }
}

pub(super) fn server(number: usize) -> String {
    format!("s-{number}")
}

fn all_servers() -> EndpointsUpdate {
    let endpoint = |number| Endpoint {
        name: server(number),
        address: String::new(),
        entry: ReplicaEntry {
            replica: ReplicaId::from_name(&server(number)),
            ..Default::default()
        },
        models: None,
    };
    EndpointsUpdate {
        kind: EndpointListKind::Complete,
        endpoints: (0..COMMANDS).map(endpoint).collect(),
    }
}

/// One process with its side of the link.
pub(super) struct Process {
    pub(super) lifecycle: Arc<Lifecycle>,
    pub(super) session: Session,
    pub(super) peer: Option<RegisteredPeer>,
    pub(super) is_serving: bool,
    /// Operators' commands that wait for their answers.
    pub(super) commands: Vec<JoinHandle<()>>,
}

impl Process {
    /// Starts a process whose other process is `peer`, with a state in wall-clock time.
    pub(super) async fn start(peer: Peer, state: MaintenanceState) -> Process {
        let clock = Clock::start();
        let state = state.on_clock(clock.wall_time(), clock.time_at(Instant::now()));
        let exclusions = state.exclusions.iter();
        let (core, messages) = Core::start(CoreOptions {
            settings: Settings::default(),
            seed: 1,
            max_requests_in_flight: 1,
            attempt_start_timeout: Duration::ZERO,
            connector: Box::new(UnusedConnector),
            discovery: mpsc::channel(1).0,
            exclusions: exclusions
                .map(|exclusion| (ReplicaId::from_name(&exclusion.name), exclusion.clone()))
                .collect(),
            metrics: Metrics::new(&[]).into(),
        });
        let list = CoreMessage::EndpointsUpdated(all_servers());
        messages.send(list).await.unwrap();
        let draining = watch::channel(None).0;
        let is_serving = peer == Peer::Successor;
        Process {
            lifecycle: Lifecycle::new(core, draining, state, None, clock, is_serving),
            session: Session::new(peer),
            peer: None,
            is_serving,
            commands: Vec::new(),
        }
    }

    /// The maintenance state, as the process writes it to its file.
    pub(super) async fn state(&self) -> MaintenanceState {
        let (peer, state) = self.lifecycle.register_peer(PeerState::Joining).await;
        self.lifecycle.unregister_peer(peer.id);
        state
    }

    /// The message for the next command that is queued for the other process.
    pub(super) fn next_command(&mut self) -> Option<PeerMessage> {
        let forwarded = self.peer.as_mut()?.commands.try_recv().ok()?;
        Some(self.session.forward_command(forwarded))
    }

    pub(super) async fn execute(
        &self,
        id: u64,
        command: AdminCommand,
        key: CommandId,
    ) -> PeerMessage {
        let from = self.peer.as_ref().unwrap().id;
        let succeeded = self.lifecycle.execute_for_peer(command, key, from).await;
        PeerMessage::AdminCommandResult { id, succeeded }
    }

    pub(super) async fn start_serving(&mut self) {
        self.lifecycle.set_serving().await;
        self.is_serving = true;
    }

    /// Notices that the other process has ended.
    pub(super) fn peer_exited(&mut self) {
        if let Some(peer) = self.peer.take() {
            self.lifecycle.unregister_peer(peer.id);
        }
        self.session = Session::new(Peer::Successor);
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // a process that has died answers nobody
        self.commands.iter().for_each(JoinHandle::abort);
    }
}
