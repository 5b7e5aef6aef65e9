//! Opens a router: its addresses and its actors. They are started in this order:
//!
//! 1. `listeners`: the addresses for clients and operators, so that an address that is already in
//!    use ends the start before anything else happens;
//! 2. `predecessor`: the maintenance state and the endpoint list, from the running predecessor
//!    process or otherwise from files, and this process's initial shares of the limits;
//! 3. `edge`: the edge's configuration file, whose tenants are part of the decision module's
//!    settings;
//! 4. `actors`: the core, the lifecycle, which executes operators' commands on the core, the edge,
//!    and the source of the endpoint list (`endpoints`), from which the core receives lists;
//! 5. `fronts`: the batch front and the front for the platform's clients;
//! 6. `handover`: this process's side of handovers.
//!
//! [`Router::serve`] accepts the clients.

mod actors;
mod edge;
mod endpoints;
mod fronts;
mod handover;
mod listeners;
mod predecessor;

use std::sync::Arc;

use tokio::sync::watch;

use super::{AdminFront, PlatformFront, Router, RouterOptions};
use crate::error::RunError;
use crate::ops::metrics::Metrics;
use crate::request_ids::RequestIds;

use actors::Actors;
use edge::EdgeFile;
use listeners::Listeners;
use predecessor::StartState;

/// Opens a router's addresses and starts its actors. `shutdown` becomes true when the process shuts
/// down.
pub async fn open(
    options: RouterOptions,
    shutdown: watch::Receiver<bool>,
) -> Result<Router, RunError> {
    let RouterOptions {
        mut config,
        batch,
        edge,
        inventory,
        config_file,
        inherited,
    } = options;
    let listeners = Listeners::open(inherited, &config, batch.is_some()).await?;
    let mut state = StartState::load(listeners.rendezvous, &mut config).await;
    let limits = Arc::new(state.limit_shares(&config));
    let drain = watch::Sender::new(None);
    let successor_serving = watch::Sender::new(false);
    let inventory = inventory.or_else(|| batch.as_ref().and_then(|b| b.inventory.clone()));
    // an inventory file is watched for changes, so the decision module need not request the list
    config.settings.endpoints_on_request &= inventory.is_none();
    let edge_file = EdgeFile::load(edge, &mut config, batch.is_some())?;
    let metrics = Arc::new(Metrics::new(&config.classes));
    let listener_context = listeners::listener_context(
        &limits,
        &drain,
        &successor_serving,
        shutdown,
        metrics.clone(),
    );
    let actors = Actors::start(
        &mut config,
        &mut state,
        &limits,
        metrics,
        drain,
        edge_file,
        inventory,
    )
    .await?;

    let request_ids = RequestIds::default();
    let batch =
        fronts::open_batch(batch, &config, &actors, &listener_context, &request_ids).await?;
    let front = fronts::platform_front(&config, &actors, &limits, request_ids.clone());
    fronts::log_addresses(&config, &listeners.platform, &listeners.admin);
    let lifecycle = actors.lifecycle.clone();
    let admin = |listener| AdminFront::new(lifecycle, listener);
    let platform = |listener| PlatformFront { front, listener };
    Ok(Router {
        reloader: actors.reloader(config_file),
        admin: listeners.admin.map(admin),
        platform: listeners.platform.map(platform),
        batch,
        handover: handover::handover_start(
            state,
            actors,
            limits,
            request_ids,
            listener_context.shutting_down.clone(),
            successor_serving,
        ),
        listener_context,
    })
}
