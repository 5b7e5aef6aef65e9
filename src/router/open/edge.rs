//! Loads the edge's configuration file before the core starts, as the file adds tenants to the
//! core's settings, and starts the edge after the core.

use std::path::PathBuf;
use std::sync::Arc;

use tokio::sync::mpsc;
use tracing::info;

use crate::config::{Config, ConfigError};
use crate::core::{CoreHandle, CoreMessage, MAILBOX_CAPACITY};
use crate::edge::config::EdgeConfig;
use crate::edge::{Edge, model_discovery};
use crate::error::RunError;
use crate::net::connection_limit::ConnectionLimit;
use crate::routing::ModelNumbers;

/// The edge's configuration file, loaded and validated.
pub(super) struct EdgeFile {
    path: PathBuf,
    config: EdgeConfig,
    numbers: ModelNumbers,
}

/// The running edge.
pub(super) struct StartedEdge {
    /// The handle of the edge.
    pub(super) edge: Arc<Edge>,
    /// The queue to which endpoint lists are sent, so that the edge can ask the model servers for
    /// their models before the lists reach the core.
    pub(super) messages: mpsc::Sender<CoreMessage>,
}

impl EdgeFile {
    /// Loads the file, if one is configured, and adds its tenants to the settings. `has_batch`:
    /// whether the batch front is enabled; the edge needs it, as both share one address.
    pub(super) fn load(
        path: Option<PathBuf>,
        config: &mut Config,
        has_batch: bool,
    ) -> Result<Option<EdgeFile>, RunError> {
        let Some(path) = path else {
            return Ok(None);
        };
        let mut numbers = ModelNumbers::default();
        let edge_config = EdgeConfig::load(&path, &config.classes, &mut numbers)?;
        if !has_batch {
            return Err(ConfigError::Missing(
                "the batch front (--batch), whose address the edge shares,",
            )
            .into());
        }
        add_tenants(&edge_config, config);
        Ok(Some(EdgeFile {
            path,
            config: edge_config,
            numbers,
        }))
    }

    /// Starts the edge in front of the core, whose message queue is `core_messages`.
    pub(super) fn start(
        self,
        config: &Config,
        core: CoreHandle,
        core_messages: mpsc::Sender<CoreMessage>,
        server_sockets: ConnectionLimit,
    ) -> Result<StartedEdge, ConfigError> {
        info!("{}: {}", self.path.display(), self.config.summary());
        let edge = Edge::new(self.path, self.config, self.numbers, config, core)?;
        let edge = Arc::new(edge);
        let (message_sender, messages) = mpsc::channel(MAILBOX_CAPACITY);
        tokio::spawn(model_discovery::run(
            edge.clone(),
            messages,
            core_messages,
            server_sockets,
        ));
        Ok(StartedEdge {
            edge,
            messages: message_sender,
        })
    }
}

/// Adds the edge's tenants to the settings, after the platform's own tenants.
fn add_tenants(edge_config: &EdgeConfig, config: &mut Config) {
    let tenants = &edge_config.tenants;
    let settings = &mut config.settings;
    settings
        .quotas
        .extend(tenants.iter().map(|tenant| tenant.quota));
    if settings.quotas.len() == tenants.len() {
        settings.over_quota_weight = edge_config.over_quota_weight;
    }
}
