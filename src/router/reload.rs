//! SIGHUP: reads the configuration files anew while the router serves, and brings into force what
//! can change then: the edge's file and discovery's address.

use std::path::PathBuf;
use std::sync::Arc;

use tokio::sync::mpsc;
use tracing::{error, info, warn};

use crate::config::Config;
use crate::core::DiscoveryCommand;
use crate::edge::Edge;

/// Brings changed configuration files into force while the router serves.
#[derive(Clone)]
pub struct Reloader {
    pub(super) config_file: Option<PathBuf>,
    /// Discovery's actor; `None` where the model servers come from an inventory.
    pub(super) discovery: Option<mpsc::Sender<DiscoveryCommand>>,
    pub(super) edge: Option<Arc<Edge>>,
}

impl Reloader {
    /// Reads the files anew and checks each completely. One with errors is logged and changes nothing.
    /// Requests in flight are not affected.
    pub async fn reload(&self) {
        if let Some(edge) = &self.edge
            && let Err(error) = edge.reload()
        {
            error!("SIGHUP: {error}; the running configuration stays in force");
        }
        match &self.config_file {
            Some(file) => self.reload_config(file).await,
            None if self.edge.is_some() => {}
            None => warn!("SIGHUP: there is no configuration file to read anew"),
        }
    }

    async fn reload_config(&self, file: &std::path::Path) {
        let config = match Config::reload(file) {
            Ok(config) => config,
            Err(error) => {
                return error!("SIGHUP: {error}; the running configuration stays in force");
            }
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
