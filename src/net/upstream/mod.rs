//! Connections to model servers. Each server has an actor with a mailbox and a connection pool. The
//! actor runs the call attempts and health checks that the core commands.
//!
//! The decision module chooses the server of each request and decides about retries. This module
//! writes a request at most once for each commanded attempt.

mod attempt;
mod attempt_end;
mod body_reader;
mod connection;
mod dial;
mod health_check;
mod load_report;
mod payload;
mod pool;
mod response_stream;
mod stream_tail;

use std::sync::{Arc, Mutex, OnceLock};
use std::time::Duration;

use tokio::sync::mpsc;
use tracing::debug;

use super::connection_limit::ConnectionLimit;
use super::read_pacing::ReadSchedule;
use crate::core::{Connector, CoreMessage, Endpoint, UpstreamCommand};
use crate::interface::ReplicaId;
use crate::memory::MemoryBudget;
use crate::ops::metrics::Metrics;
use pool::Pool;

pub use payload::UpstreamRequest;

/// How long after its connect timeout an attempt may still start. This allows for the time that the
/// actors need between the established connection and the first byte. An attempt that is later than
/// this is not started, for example if the process was suspended after connecting.
pub const START_GRACE: Duration = Duration::from_millis(100);
/// The maximum number of commands queued for the actor of one model server.
const MAILBOX_CAPACITY: usize = 1024;

/// The options shared by all model servers.
#[derive(Clone, Debug)]
pub struct Options {
    /// The maximum time for establishing a connection.
    pub connect_timeout: Duration,
    /// The time without a request after which servers close a connection.
    pub server_idle_timeout: Duration,
    /// The names of the values in a load report as servers write them, in the order of the
    /// settings.
    pub load_report_names: Vec<String>,
}

/// Starts an actor for each model server, which connects over TCP.
pub struct TcpConnector {
    /// The options of each model server.
    pub options: Options,
    /// The limit on connections to all model servers together.
    pub connection_limit: ConnectionLimit,
    /// The memory for large chunks of answers.
    pub memory: MemoryBudget,
    /// Schedules the turns of answers whose bytes are always ready.
    pub read_schedule: Arc<ReadSchedule>,
    /// The metrics that count the attempts whose request was written.
    pub metrics: Arc<Metrics>,
    /// The mailbox of the core; unset until the core has started.
    pub messages: Arc<OnceLock<mpsc::Sender<CoreMessage>>>,
}

impl Connector for TcpConnector {
    fn open(&self, replica: ReplicaId, endpoint: &Endpoint) -> mpsc::Sender<UpstreamCommand> {
        let (command_sender, commands) = mpsc::channel(MAILBOX_CAPACITY);
        if let Some(messages) = self.messages.get() {
            let upstream = Upstream {
                replica,
                address: endpoint.address.clone(),
                options: self.options.clone(),
                connection_limit: self.connection_limit.clone(),
                memory: self.memory.clone(),
                read_schedule: self.read_schedule.clone(),
                metrics: self.metrics.clone(),
                messages: messages.clone(),
                pool: Mutex::default(),
            };
            debug!(
                "upstream {} ({:x}) at {}",
                endpoint.name, replica.0, endpoint.address
            );
            tokio::spawn(Arc::new(upstream).run(commands));
        }
        command_sender
    }
}

/// The state of one model server, shared by its actor, its attempts and its health checks.
struct Upstream {
    replica: ReplicaId,
    address: String,
    options: Options,
    connection_limit: ConnectionLimit,
    memory: MemoryBudget,
    read_schedule: Arc<ReadSchedule>,
    metrics: Arc<Metrics>,
    messages: mpsc::Sender<CoreMessage>,
    pool: Mutex<Pool>,
}

impl Upstream {
    async fn run(self: Arc<Self>, mut commands: mpsc::Receiver<UpstreamCommand>) {
        while let Some(command) = commands.recv().await {
            match command {
                UpstreamCommand::StartAttempt(attempt) => {
                    tokio::spawn(self.clone().run_attempt(attempt))
                }
                UpstreamCommand::CheckHealth => tokio::spawn(self.clone().run_health_check()),
            };
        }
        // the server was removed from the endpoint list: attempts in flight continue, while idle
        // connections are closed
        self.pool().close();
    }
}

#[cfg(test)]
mod tests;
