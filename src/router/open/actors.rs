//! Starts the actors that the fronts use: the core with its connections to model servers, the
//! lifecycle, the edge, and the source of the endpoint list.

use std::path::PathBuf;
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

use tokio::sync::{mpsc, watch};

use super::edge::EdgeFile;
use super::endpoints::{self, EndpointChannels};
use super::predecessor::StartState;
use crate::config::Config;
use crate::core::actor::{Core, CoreOptions};
use crate::core::{CoreHandle, CoreMessage, DiscoveryCommand};
use crate::edge::Edge;
use crate::error::RunError;
use crate::interface::ReplicaId;
use crate::lifecycle::{DrainingSince, Lifecycle};
use crate::net::discovery::endpoint_list::EndpointList;
use crate::net::handover::LimitShares;
use crate::net::read_pacing::ReadSchedule;
use crate::net::upstream;
use crate::ops::maintenance_state::MaintenanceState;
use crate::ops::metrics::Metrics;
use crate::router::Reloader;
use crate::storage::BackgroundReader;

/// The maximum number of commands, and of a predecessor's lists, that are queued for the source of
/// the endpoint list.
const DISCOVERY_QUEUE_LENGTH: usize = 4;

/// The running actors.
pub(super) struct Actors {
    /// The handle for requests and commands to the core.
    pub(super) core: CoreHandle,
    /// Executes operators' commands.
    pub(super) lifecycle: Arc<Lifecycle>,
    /// The edge; `None` if it is disabled.
    pub(super) edge: Option<Arc<Edge>>,
    /// The command queue of the source of the endpoint list.
    pub(super) discovery: mpsc::Sender<DiscoveryCommand>,
    /// Receives the lists of a predecessor process.
    pub(super) predecessor_lists: mpsc::Sender<EndpointList>,
    /// Whether discovery is the source of the endpoint list.
    pub(super) has_discovery: bool,
    /// The endpoint list as discovery sent it, for a successor process.
    pub(super) endpoints: watch::Receiver<Option<EndpointList>>,
}

impl Actors {
    /// Starts the actors. The source of the endpoint list is started last.
    pub(super) async fn start(
        config: &mut Config,
        state: &mut StartState,
        limits: &LimitShares,
        metrics: Arc<Metrics>,
        drain: watch::Sender<DrainingSince>,
        edge_file: Option<EdgeFile>,
        inventory: Option<PathBuf>,
    ) -> Result<Actors, RunError> {
        let server_sockets = limits.server_sockets.clone();
        let (discovery, commands) = mpsc::channel(DISCOVERY_QUEUE_LENGTH);
        let StartedCore {
            handle: core,
            messages: core_messages,
        } = start_core(
            config,
            limits,
            discovery.clone(),
            &state.maintenance,
            metrics,
        );
        let lifecycle = state.start_lifecycle(core.clone(), drain);
        let (edge, messages) = match edge_file {
            Some(edge_file) => {
                let started =
                    edge_file.start(config, core.clone(), core_messages, server_sockets)?;
                (Some(started.edge), started.messages)
            }
            None => (None, core_messages),
        };
        let (published, endpoints) = watch::channel(config.known_endpoints.clone());
        let (list_sender, predecessor_lists) = mpsc::channel(DISCOVERY_QUEUE_LENGTH);
        let channels = EndpointChannels {
            commands,
            predecessor_lists,
            messages,
            published: state.is_replaceable().then_some(published),
        };
        let has_discovery = match inventory {
            Some(path) => {
                endpoints::start_inventory(path, config, channels);
                false
            }
            None => endpoints::start_discovery(config, channels, state.has_predecessor()).await,
        };
        Ok(Actors {
            core,
            lifecycle,
            edge,
            discovery,
            predecessor_lists: list_sender,
            has_discovery,
            endpoints,
        })
    }

    /// Returns the reloader, which applies changes of `config_file` and of the edge's configuration
    /// file.
    pub(super) fn reloader(&self, config_file: Option<PathBuf>) -> Reloader {
        Reloader {
            config_file,
            discovery: self.has_discovery.then(|| self.discovery.clone()),
            edge: self.edge.clone(),
            reader: BackgroundReader::default(),
        }
    }
}

/// The running core.
struct StartedCore {
    /// The handle for fronts and commands.
    handle: CoreHandle,
    /// The core's message queue.
    messages: mpsc::Sender<CoreMessage>,
}

/// Starts the core's actor with the connector that opens connections to model servers.
fn start_core(
    config: &Config,
    limits: &LimitShares,
    discovery: mpsc::Sender<DiscoveryCommand>,
    maintenance: &MaintenanceState,
    metrics: Arc<Metrics>,
) -> StartedCore {
    let connector = upstream::TcpConnector {
        options: upstream::Options {
            connect_timeout: config.connect_timeout,
            server_idle_timeout: Duration::from(config.settings.idle_connection_timeout),
            load_report_names: config.load_report_names.clone(),
        },
        connection_limit: limits.server_sockets.clone(),
        memory: limits.memory.clone(),
        read_schedule: Arc::new(ReadSchedule::new(Instant::now())),
        metrics: metrics.clone(),
        messages: Arc::new(OnceLock::new()),
    };
    // the connections send messages to the core, but the core needs the connector to start: the
    // connector gets the core's message queue afterwards
    let connector_messages = connector.messages.clone();
    let exclusions = maintenance.exclusions.iter();
    let (handle, messages) = Core::start(CoreOptions {
        settings: config.settings.clone(),
        seed: config.seed,
        max_requests_in_flight: config.max_requests,
        attempt_start_timeout: config.connect_timeout + upstream::START_GRACE,
        connector: Box::new(connector),
        discovery,
        exclusions: exclusions
            .map(|exclusion| (ReplicaId::from_name(&exclusion.name), exclusion.clone()))
            .collect(),
        metrics,
    });
    let _ = connector_messages.set(messages.clone());
    StartedCore { handle, messages }
}
