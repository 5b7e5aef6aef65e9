//! Opens the addresses on which a router listens, except for the batch front's, and creates the
//! context that all listeners share.

use std::sync::Arc;
use std::time::Instant;

use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::config::{Config, ConfigError};
use crate::error::RunError;
use crate::lifecycle::DrainingSince;
use crate::net::handover::{LimitShares, Rendezvous};
use crate::net::listener::{Heartbeat, ListenerContext};
use crate::net::read_pacing::ReadSchedule;
use crate::ops::metrics::Metrics;
use crate::router::InheritedListener;

/// The listening sockets for the platform's clients and for operators, and the rendezvous of the
/// router's processes.
pub(super) struct Listeners {
    /// The socket for the platform's clients; `None` if only the batch front runs.
    pub(super) platform: Option<TcpListener>,
    /// The socket for operators; `None` if it is disabled.
    pub(super) admin: Option<TcpListener>,
    /// Where the router's processes find each other; `None` if this process can have neither a
    /// predecessor nor a successor.
    pub(super) rendezvous: Option<Rendezvous>,
}

impl Listeners {
    /// Opens the addresses. `has_batch`: whether the batch front is enabled; without it the address
    /// for the platform's clients is required.
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

/// Opens the rendezvous in the folder that the platform passes with the socket, if it passes one.
fn find_rendezvous(inherited: &InheritedListener) -> Result<Option<Rendezvous>, RunError> {
    let rendezvous = inherited.folder.as_deref().map(Rendezvous::new);
    rendezvous.transpose().map_err(RunError::System)
}

/// Converts the socket that the platform passes to the process into an asynchronous listener.
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

/// Creates the context that all listeners share. The lifecycle sets `drain` and the handover sets
/// `successor_serving`; `shutdown` becomes true when the process shuts down.
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
