//! Opens the fronts: one for the platform's clients and one for the batch API.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::sync::watch;
use tracing::info;

use super::actors::Actors;
use crate::batch;
use crate::batch::edge_access::EdgeAccess;
use crate::config::Config;
use crate::error::RunError;
use crate::net::downstream::DownstreamContext;
use crate::net::handover::LimitShares;
use crate::net::listener::ListenerContext;
use crate::request_ids::RequestIds;

/// Opens the batch front if it is enabled.
pub(super) async fn open_batch(
    options: Option<batch::Options>,
    config: &Config,
    actors: &Actors,
    listener_context: &ListenerContext,
    request_ids: &RequestIds,
) -> Result<Option<batch::BatchService>, RunError> {
    let Some(options) = options else {
        return Ok(None);
    };
    // a drain affects the platform's clients only: no other router can serve this one's batch jobs;
    // nor does a successor accept this front's clients
    let listener_context = ListenerContext {
        drained: watch::channel(None).1,
        replaced: watch::channel(false).1,
        ..listener_context.clone()
    };
    let edge_access = actors.edge.clone().map(|edge| EdgeAccess {
        edge,
        request_ids: request_ids.clone(),
    });
    let front = batch::open(
        options,
        config,
        actors.core.clone(),
        listener_context,
        edge_access,
    )
    .await?;
    if let Ok(address) = front.address() {
        info!("{}: batch front on {address}", config.name);
    }
    Ok(Some(front))
}

/// Creates the front for the platform's clients.
pub(super) fn platform_front(
    config: &Config,
    actors: &Actors,
    limits: &LimitShares,
    request_ids: RequestIds,
) -> Arc<DownstreamContext> {
    let classes = config.settings.classes.iter();
    Arc::new(DownstreamContext {
        core: actors.core.clone(),
        memory: limits.memory.clone(),
        deadlines: classes
            .map(|class| Duration::from(class.deadline))
            .collect(),
        classes: config.classes.clone(),
        tenants: config.tenants.clone(),
        request_ids,
    })
}

/// Logs the addresses that were bound. If the configuration has port 0, the log is the only place
/// where the port can be seen.
pub(super) fn log_addresses(
    config: &Config,
    platform: &Option<TcpListener>,
    admin: &Option<TcpListener>,
) {
    if let Some(address) = bound_address(platform) {
        info!("{}: serving on {address}", config.name);
    }
    if let Some(address) = bound_address(admin) {
        info!("{}: operators' address {address}", config.name);
    }
}

fn bound_address(listener: &Option<TcpListener>) -> Option<SocketAddr> {
    listener.as_ref()?.local_addr().ok()
}
