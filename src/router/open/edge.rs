//! The edge: its file read ahead of the core, whose settings it extends, and its start behind it.

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

/// The edge's file, read and checked.
pub(super) struct EdgeFile {
    path: PathBuf,
    config: EdgeConfig,
    numbers: ModelNumbers,
}

/// The running edge.
pub(super) struct StartedEdge {
    /// The edge.
    pub(super) edge: Arc<Edge>,
    /// Where endpoint lists go, so that the edge asks the model servers for their models before the
    /// lists reach the core.
    pub(super) messages: mpsc::Sender<CoreMessage>,
}

impl EdgeFile {
    /// Reads the file, where there is one, and adds its tenants to the settings. `has_batch`: the
    /// batch front is on, whose address the edge shares.
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
        let (messages_to, messages) = mpsc::channel(MAILBOX_CAPACITY);
        tokio::spawn(model_discovery::run(
            edge.clone(),
            messages,
            core_messages,
            server_sockets,
        ));
        Ok(StartedEdge {
            edge,
            messages: messages_to,
        })
    }
}

/// Adds the edge's tenants to the settings, behind the platform's own.
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
