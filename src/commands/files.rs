//! Loads the configuration files that the command line and the environment specify.

use std::path::PathBuf;

use crate::batch;
use crate::config::{Config, ConfigError};
use crate::router::RouterOptions;

/// The paths of a router's configuration files from the command line.
pub struct ConfigFiles {
    /// The configuration; `None` selects the file in `GW_CONFIG`.
    pub config: Option<PathBuf>,
    /// The batch front's configuration; `None` if that front is off.
    pub batch: Option<PathBuf>,
    /// The edge's configuration file; `None` if the edge is off.
    pub edge: Option<PathBuf>,
    /// An inventory of model servers; `None` if they come from discovery.
    pub inventory: Option<PathBuf>,
}

impl ConfigFiles {
    /// Reads the configuration and the batch front's configuration. The edge's configuration file
    /// and the inventory are read later, by the modules that use them.
    pub fn load(self) -> Result<RouterOptions, ConfigError> {
        let batch = self
            .batch
            .map(|path| batch::Options::load(&path))
            .transpose()?;
        let config_file = Config::file(self.config);
        let config = match Config::load(config_file.as_deref()) {
            // the batch front can run without this file, with model servers of an inventory
            Err(ConfigError::Missing(_)) if batch.is_some() => Config::standalone(),
            loaded => loaded?,
        };
        Ok(RouterOptions {
            config,
            batch,
            edge: self.edge,
            inventory: self.inventory,
            config_file,
            inherited: None,
        })
    }
}
