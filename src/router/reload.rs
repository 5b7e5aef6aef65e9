//! Reloads the configuration files on SIGHUP while the router serves, and applies the changes that
//! are possible then: the edge's configuration and discovery's address.

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;
use tracing::{error, info, warn};

use crate::config::{Config, ConfigError};
use crate::core::DiscoveryCommand;
use crate::edge::Edge;
use crate::storage::BackgroundReader;

/// How long it may take to read one configuration file and the files to which it refers. After that
/// the current configuration stays in effect.
const READ_TIMEOUT: Duration = Duration::from_secs(10);

/// Applies changed configuration files while the router serves.
#[derive(Clone)]
pub struct Reloader {
    pub(super) config_file: Option<PathBuf>,
    /// The command queue of discovery; `None` if discovery does not run, for example because an
    /// inventory file is used.
    pub(super) discovery: Option<mpsc::Sender<DiscoveryCommand>>,
    pub(super) edge: Option<Arc<Edge>>,
    pub(super) reader: BackgroundReader,
}

impl Reloader {
    /// Reads the files again, and validates each file completely before it is applied. The errors
    /// of an invalid file are logged, and the file changes nothing. Requests in flight are not
    /// affected. Cancel safe: a file is applied completely or not at all.
    pub async fn reload(&self) {
        if let Some(edge) = &self.edge {
            self.reload_edge(edge.clone()).await;
        }
        match &self.config_file {
            Some(file) => self.reload_config(file).await,
            None if self.edge.is_some() => {}
            None => warn!("SIGHUP: there is no configuration file to reload"),
        }
    }

    async fn reload_edge(&self, edge: Arc<Edge>) {
        let edge_to_load = edge.clone();
        let loaded = self.load(move || edge_to_load.load_config()).await;
        let Some(loaded) = loaded else { return };
        if let Err(error) = edge.apply(loaded) {
            log_failed_reload(&error);
        }
    }

    /// Loads a configuration on a separate thread. Logs an error and returns `None` if that fails.
    async fn load<T: Send + 'static>(
        &self,
        load: impl FnOnce() -> Result<T, ConfigError> + Send + 'static,
    ) -> Option<T> {
        match self.reader.read(READ_TIMEOUT, load).await {
            Ok(loaded) => loaded.inspect_err(|error| log_failed_reload(error)).ok(),
            Err(abandoned) => {
                log_failed_reload(&abandoned);
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
                "SIGHUP: {}: the file has no setting that can change while the router serves",
                file.display()
            );
        };
        info!(
            "SIGHUP: {}: the address of discovery is now {address}",
            file.display()
        );
        let _ = discovery
            .send(DiscoveryCommand::ChangeAddress { address })
            .await;
    }
}

fn log_failed_reload(error: &dyn std::error::Error) {
    error!("SIGHUP: {error}; the running configuration stays in force");
}
