//! The addresses that a router listens on, apart from the batch front's, and what all listeners
//! share.

use std::sync::Arc;
use std::time::Instant;

use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::config::{Config, ConfigError};
use crate::error::RunError;
use crate::lifecycle::DrainingSince;
use crate::net::handover::{LimitShares, Rendezvous};
use crate::net::listener::{Heartbeat, ListenerContext, ReadSchedule};
use crate::ops::metrics::Metrics;
use crate::router::InheritedListener;

/// The addresses of the platform's clients and of operators, and where other processes of the
/// router find this one.
pub(super) struct Listeners {
    /// The platform's clients; `None` where the batch front runs by itself.
    pub(super) platform: Option<TcpListener>,
    /// Operators; `None` where that is off.
    pub(super) admin: Option<TcpListener>,
    /// `None` where the process neither replaces another one nor is replaced.
    pub(super) rendezvous: Option<Rendezvous>,
}

impl Listeners {
    /// Opens the addresses. `has_batch`: the router may do without the platform's clients.
    pub(super) async fn open(
        inherited: Option<InheritedListener>,
        config: &Config,
        has_batch: bool,
    ) -> Result<Listeners, RunError> {
        let (platform, rendezvous) = match (inherited, &config.listen) {
            (Some(inherited), _) => {
                let rendezvous = find_rendezvous(&inherited)?;
                (Some(adopt(inherited)?), rendezvous)
            }
            (None, Some(address)) => (Some(bind(address, RunError::listen).await?), None),
            (None, None) if has_batch => (None, None),
            (None, None) => return Err(ConfigError::Missing("GW_LISTEN").into()),
        };
        let admin = match &config.admin {
            Some(address) => Some(bind(address, RunError::listen_admin).await?),
            None => None,
        };
        Ok(Listeners {
            platform,
            admin,
            rendezvous,
        })
    }
}

/// The rendezvous in the folder that the platform passes with the socket, if it passes one.
fn find_rendezvous(inherited: &InheritedListener) -> Result<Option<Rendezvous>, RunError> {
    let rendezvous = inherited.folder.as_deref().map(Rendezvous::new);
    rendezvous.transpose().map_err(RunError::System)
}

/// Uses the socket that the platform passes to the process.
fn adopt(inherited: InheritedListener) -> Result<TcpListener, RunError> {
    TcpListener::from_std(inherited.listener).map_err(RunError::System)
}

async fn bind(
    address: &str,
    bind_error: fn(&str, std::io::Error) -> RunError,
) -> Result<TcpListener, RunError> {
    TcpListener::bind(address)
        .await
        .map_err(|error| bind_error(address, error))
}

/// What all listeners share. `drain` and `successor_serving` are set by the lifecycle and by the
/// handover; `shutdown` turns true when the process shuts down.
pub(super) fn listener_context(
    limits: &LimitShares,
    drain: &watch::Sender<DrainingSince>,
    successor_serving: &watch::Sender<bool>,
    shutdown: watch::Receiver<bool>,
    metrics: Arc<Metrics>,
) -> ListenerContext {
    ListenerContext {
        connection_limit: limits.client_sockets.clone(),
        shutting_down: shutdown,
        shutdown_signal: Default::default(),
        replaced: successor_serving.subscribe(),
        drained: drain.subscribe(),
        heartbeat: Arc::new(Heartbeat::new(Instant::now())),
        read_schedule: Arc::new(ReadSchedule::new(Instant::now())),
        metrics,
    }
}
