//! The upstream side: model servers. Each server has an actor with a mailbox, a pool of connections,
//! and runs the call attempts and health checks that the core commands.
//!
//! Owns the connections to servers and the bytes on them. Decides nothing: which server gets a
//! request, and whether an attempt is retried, is the decision module's; a request is written once
//! for each attempt that was commanded.

mod attempt;
mod attempt_end;
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
use crate::core::{Connector, CoreMessage, Endpoint, UpstreamCommand};
use crate::interface::ReplicaId;
use crate::ops::metrics::Metrics;
use pool::Pool;

pub use payload::{UpstreamRequest, payload};

/// How long after its connect timeout an attempt may still start: the time that the actors may take
/// between the connection and the first byte. An attempt that is later, as after the process was
/// suspended in between, is not started.
pub const START_GRACE: Duration = Duration::from_millis(100);
/// The most commands that wait for the actor of an upstream.
const MAILBOX_CAPACITY: usize = 1024;

/// The options that all upstreams share.
#[derive(Clone, Debug)]
pub struct Options {
    /// How long connecting may take.
    pub connect_timeout: Duration,
    /// After so long without a request servers close a connection.
    pub server_idle_timeout: Duration,
    /// The names of a load report's values as servers write them, in the settings' order.
    pub load_report_names: Vec<String>,
}

/// Opens upstreams over TCP.
pub struct TcpConnector {
    /// The options of each upstream.
    pub options: Options,
    /// Limits the connections of all upstreams together.
    pub connection_limit: ConnectionLimit,
    /// Counts the attempts whose request was written.
    pub metrics: Arc<Metrics>,
    /// The core's mailbox, once the core has started.
    pub messages: Arc<OnceLock<mpsc::Sender<CoreMessage>>>,
}

impl Connector for TcpConnector {
    fn open(&self, replica: ReplicaId, endpoint: &Endpoint) -> mpsc::Sender<UpstreamCommand> {
        let (commands_to, commands) = mpsc::channel(MAILBOX_CAPACITY);
        if let Some(messages) = self.messages.get() {
            let upstream = Upstream {
                replica,
                address: endpoint.address.clone(),
                options: self.options.clone(),
                connection_limit: self.connection_limit.clone(),
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
        commands_to
    }
}

/// One model server, as its actor, its attempts and its health checks share it.
struct Upstream {
    replica: ReplicaId,
    address: String,
    options: Options,
    connection_limit: ConnectionLimit,
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
        // the server left the list: attempts in flight go on, idle connections don't
        self.pool().close();
    }
}

#[cfg(test)]
mod tests;
