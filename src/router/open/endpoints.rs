//! Starts the source of the endpoint list: either an inventory file, or the list in the
//! configuration followed by discovery.

use std::path::PathBuf;

use tokio::sync::{mpsc, watch};
use tracing::info;

use crate::config::Config;
use crate::core::{CoreMessage, DiscoveryCommand};
use crate::interface::EndpointListKind;
use crate::inventory;
use crate::net::discovery::endpoint_list::EndpointList;
use crate::net::discovery::watcher;

/// The channels that a source of the endpoint list uses.
pub(super) struct EndpointChannels {
    /// Commands from the core.
    pub(super) commands: mpsc::Receiver<DiscoveryCommand>,
    /// The message queue to which lists are sent.
    pub(super) messages: mpsc::Sender<CoreMessage>,
    /// Publishes discovery's list for a successor process; `None` if there can be no successor.
    pub(super) published: Option<watch::Sender<Option<EndpointList>>>,
    /// The lists of a predecessor process.
    pub(super) predecessor_lists: mpsc::Receiver<EndpointList>,
}

/// Starts watching an inventory file.
pub(super) fn start_inventory(path: PathBuf, config: &Config, channels: EndpointChannels) {
    tokio::spawn(inventory::watcher::run(
        path,
        config.localities.clone(),
        channels.commands,
        channels.messages,
    ));
}

/// Sends the configuration's list to the core and starts discovery, if either is configured.
/// Returns whether discovery was started. `has_predecessor`: whether a predecessor process was
/// polling discovery, so that this process polls from the start, without a command.
pub(super) async fn start_discovery(
    config: &mut Config,
    channels: EndpointChannels,
    has_predecessor: bool,
) -> bool {
    let revision = config
        .known_endpoints
        .as_ref()
        .map_or(0, EndpointList::revision);
    if let Some(known) = config.known_endpoints.take() {
        let known = known.resolved(EndpointListKind::Persisted, &config.localities);
        info!(
            "{}: starting with {} known model servers",
            config.name,
            known.endpoints.len()
        );
        let _ = channels
            .messages
            .send(CoreMessage::EndpointsUpdated(known))
            .await;
    }
    let Some(address) = config.discovery.clone() else {
        return false;
    };
    let options = watcher::Options {
        address,
        revision,
        localities: config.localities.clone(),
        poll_at_start: has_predecessor,
        pushed: !config.settings.endpoints_on_request,
        // the delays of the routers are spread by their seeds
        timeout_retry_delay: watcher::MAX_TIMEOUT_RETRY_DELAY
            .mul_f64(config.seed as f64 / u64::MAX as f64),
        publisher: channels.published,
        predecessor_lists: channels.predecessor_lists,
    };
    tokio::spawn(watcher::run(options, channels.commands, channels.messages));
    true
}
