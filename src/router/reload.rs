//! SIGHUP: reads the configuration files anew while the router serves, and brings into force what
//! can change then: the edge's file and discovery's address.

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;
use tracing::{error, info, warn};

use crate::config::{Config, ConfigError};
use crate::core::DiscoveryCommand;
use crate::edge::Edge;
use crate::storage::BackgroundReader;

/// How long the files may take to be read: after that the running configuration stays in force.
const READ_TIMEOUT: Duration = Duration::from_secs(10);

/// Brings changed configuration files into force while the router serves.
#[derive(Clone)]
pub struct Reloader {
    pub(super) config_file: Option<PathBuf>,
    /// Discovery's actor; `None` where the model servers come from an inventory.
    pub(super) discovery: Option<mpsc::Sender<DiscoveryCommand>>,
    pub(super) edge: Option<Arc<Edge>>,
    pub(super) reader: BackgroundReader,
}

impl Reloader {
    /// Reads the files anew and checks each completely. One with errors is logged and changes nothing.
    /// Requests in flight are not affected. Cancel safe: nothing, or all of a file, is in force.
    pub async fn reload(&self) {
        if let Some(edge) = &self.edge {
            self.reload_edge(edge.clone()).await;
        }
        match &self.config_file {
            Some(file) => self.reload_config(file).await,
            None if self.edge.is_some() => {}
            None => warn!("SIGHUP: there is no configuration file to read anew"),
        }
    }

    async fn reload_edge(&self, edge: Arc<Edge>) {
        let reading = edge.clone();
        let loaded = self.load(move || reading.load_config()).await;
        let Some(loaded) = loaded else { return };
        if let Err(error) = edge.apply(loaded) {
            log_unchanged(&error);
        }
    }

    /// Loads a configuration on a thread of its own; none where that fails.
    async fn load<T: Send + 'static>(
        &self,
        load: impl FnOnce() -> Result<T, ConfigError> + Send + 'static,
    ) -> Option<T> {
        match self.reader.read(READ_TIMEOUT, load).await {
            Ok(loaded) => loaded.inspect_err(|error| log_unchanged(error)).ok(),
            Err(abandoned) => {
                log_unchanged(&abandoned);
                None
            }
        }
    }

    async fn reload_config(&self, file: &Path) {
        let path = file.to_path_buf();
        let Some(config) = self.load(move || Config::reload(&path)).await else {
            return;
        };
        let (Some(discovery), Some(address)) = (&self.discovery, config.discovery) else {
            return info!(
                "SIGHUP: {}: nothing in it that can change while serving",
                file.display()
            );
        };
        info!("SIGHUP: {}: discovery at {address}", file.display());
        let _ = discovery
            .send(DiscoveryCommand::ChangeAddress { address })
            .await;
    }
}

fn log_unchanged(error: &dyn std::error::Error) {
    error!("SIGHUP: {error}; the running configuration stays in force");
}
