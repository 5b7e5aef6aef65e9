//! A core whose attempts wait before their first byte until the test lets them start.

use std::time::Instant;

use stilespan::core::actor::{Core, CoreOptions};
use stilespan::core::{
    Attempt, AttemptResult, CoreHandle, EndpointsUpdate, Message, UpstreamCommand,
};
use stilespan::interface::{Class, EndpointListKind, Outcome, ReplicaId, Settings};
use tokio::sync::mpsc;
use tokio::time::{Duration, sleep, timeout};

use crate::common::scripted_core::*;

/// Fails a test that waits for longer; far more than any step takes on a busy machine.
pub const TIMEOUT: Duration = Duration::from_secs(5);

/// A core, its mailbox, and the commands to its upstreams.
pub struct RunningCore {
    pub handle: CoreHandle,
    pub messages: mpsc::Sender<Message>,
    opened: OpenedUpstreams,
    _discovery_commands: mpsc::Receiver<stilespan::core::DiscoveryCommand>,
}

/// Starts a core with so many endpoints and one class.
pub async fn start_core(endpoints: u64, class: Class) -> RunningCore {
    let opened = OpenedUpstreams::default();
    let (discovery, discovery_commands) = mpsc::channel(4);
    let settings = Settings {
        classes: vec![class],
        max_attempts: 3,
        cancellation: true,
        ..Settings::default()
    };
    let options = CoreOptions {
        settings,
        attempt_start_timeout: Duration::from_secs(20),
        ..core_options(ScriptedConnector(opened.clone()), discovery)
    };
    let (handle, messages) = Core::start(options);
    let core = RunningCore {
        handle,
        messages,
        opened,
        _discovery_commands: discovery_commands,
    };
    core.update_endpoints(
        EndpointListKind::Complete,
        (1..=endpoints)
            .map(|id| endpoint(id, &format!("127.0.0.1:{id}"), 0))
            .collect(),
    )
    .await;
    while core.opened.lock().unwrap().len() < endpoints as usize {
        sleep(Duration::from_millis(1)).await;
    }
    core
}

impl RunningCore {
    /// Sends an endpoint list update.
    pub async fn update_endpoints(
        &self,
        kind: EndpointListKind,
        endpoints: Vec<stilespan::core::Endpoint>,
    ) {
        self.messages
            .send(Message::EndpointsUpdated(EndpointsUpdate {
                kind,
                endpoints,
            }))
            .await
            .unwrap();
    }

    /// The next attempt that the core starts, and at which replica.
    pub async fn next_attempt(&self) -> (ReplicaId, Attempt) {
        let next = async {
            loop {
                for (replica, commands) in self.opened.lock().unwrap().iter_mut() {
                    while let Ok(command) = commands.try_recv() {
                        if let UpstreamCommand::StartAttempt(attempt) = command {
                            return (*replica, attempt);
                        }
                    }
                }
                sleep(Duration::from_millis(1)).await;
            }
        };
        timeout(TIMEOUT, next).await.expect("an attempt is started")
    }

    /// Reports an outcome of an attempt.
    pub async fn report_outcome(&self, attempt: &Attempt, outcome: Outcome) {
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
