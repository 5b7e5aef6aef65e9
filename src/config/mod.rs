//! The configuration of a router: the platform's environment and its JSON file, with the settings
//! of the decision module. The batch front and the edge parse their own configuration files.

mod error;
mod raw;
mod raw_settings;
mod settings;

use std::path::{Path, PathBuf};
use std::time::Duration;

use crate::interface::{Settings, stable_hash};
use crate::net::discovery::endpoint_list::EndpointList;

pub use error::ConfigError;
use raw::{RawConfig, RouterSettings};
pub use settings::{SettingsError, parse_settings, quote};

/// The configuration that is used without the platform's file. It defines the two classes of the
/// batch and edge service; the model servers come from an inventory.
const STANDALONE: &str = include_str!("standalone.json");
/// The timeout for connecting to a model server if the settings contain none or one out of range,
/// in seconds. It is the value of the platform's example settings.
const DEFAULT_CONNECT_TIMEOUT_S: f64 = 0.25;
/// The connect timeouts that the settings may contain, in seconds.
const CONNECT_TIMEOUT_RANGE_S: std::ops::Range<f64> = 0.001..3600.0;
/// The maximum number of requests in flight if the settings contain no limit. It is the value of
/// the platform's example settings.
const DEFAULT_MAX_REQUESTS: usize = 20_000;

/// The configuration of a router.
#[derive(Clone, Debug)]
pub struct Config {
    /// The router's name, which the log shows.
    pub name: String,
    /// The address for the platform's clients; `None` if the platform's front is off.
    pub listen: Option<String>,
    /// The operators' address; `None` if it is off.
    pub admin: Option<String>,
    /// Discovery's address; `None` if the model servers come from an inventory.
    pub discovery: Option<String>,
    /// The seed of the random number generators.
    pub seed: u64,
    /// The maximum number of file descriptors that the process may open.
    pub max_descriptors: usize,
    /// The memory that the process may use, in bytes.
    pub memory_bytes: usize,
    /// The endpoint list to start with.
    pub known_endpoints: Option<EndpointList>,
    /// The settings of the decision module.
    pub settings: Settings,
    /// The names of the classes.
    pub classes: Vec<String>,
    /// The names of the tenants.
    pub tenants: Vec<String>,
    /// The names of the zones.
    pub localities: Vec<String>,
    /// The names of the values in a load report, as model servers write them.
    pub load_report_names: Vec<String>,
    /// The timeout for establishing a connection to a model server.
    pub connect_timeout: Duration,
    /// The maximum number of requests in flight.
    pub max_requests: usize,
}

impl Config {
    /// Returns the path of the configuration file: `path`, or else the one in `GW_CONFIG`.
    pub fn file(path: Option<PathBuf>) -> Option<PathBuf> {
        path.or_else(|| env_variable("GW_CONFIG").map(PathBuf::from))
    }

    /// Reads the configuration file at startup. Environment variables override its values.
    pub fn load(path: Option<&Path>) -> Result<Config, ConfigError> {
        let path = path.ok_or(ConfigError::Missing("GW_CONFIG (or --config)"))?;
        let mut config = Config::reload(path)?;
        config.name = env_variable("GW_NAME").unwrap_or(config.name);
        config.listen = env_variable("GW_LISTEN").or(config.listen);
        config.admin = env_variable("GW_ADMIN").or(config.admin);
        config.discovery = env_variable("GW_DISCOVERY").or(config.discovery);
        Ok(config)
    }

    /// Reads the configuration file again while the router runs. Environment variables are ignored,
    /// as they still have the values from the start of the process.
    pub fn reload(path: &Path) -> Result<Config, ConfigError> {
        Config::parse(path, &read_file(path)?)
    }

    /// Returns the built-in configuration, which needs no file of the platform.
    pub fn standalone() -> Config {
        let parsed = Config::parse(Path::new("the built-in configuration"), STANDALONE);
        // can't fail: the text is compiled into the program, and a test parses it
        parsed.unwrap_or_else(|error| unreachable!("{error}"))
    }

    /// Parses the text of a configuration file; `path` appears in error messages only.
    pub fn parse(path: &Path, text: &str) -> Result<Config, ConfigError> {
        let raw: RawConfig = serde_json::from_str(text)
            .map_err(|error| ConfigError::malformed(path, error.to_string()))?;
        let settings = parse_settings(&raw.settings.to_string())
            .map_err(|error| ConfigError::malformed(path, error.to_string()))?;
        let router_settings = RouterSettings(&raw.settings);
        Ok(Config {
            name: raw.name,
            listen: raw.listen,
            admin: raw.admin.filter(|address| !address.is_empty()),
            discovery: raw.discovery,
            seed: parse_seed(&raw.seed),
            max_descriptors: raw.limits.sockets,
            memory_bytes: raw.limits.memory_mb << 20,
            known_endpoints: raw.known,
            classes: router_settings.object_names("/classes"),
            tenants: router_settings.object_names("/tenants"),
            localities: router_settings.names("/localities"),
            load_report_names: router_settings.names("/telemetry/names"),
            connect_timeout: connect_timeout(&router_settings),
            max_requests: router_settings
                .number("/limits/max-open")
                .map_or(DEFAULT_MAX_REQUESTS, |limit| limit as usize),
            settings,
        })
    }
}

fn connect_timeout(settings: &RouterSettings<'_>) -> Duration {
    let seconds = settings
        .number("/limits/connect-timeout")
        .filter(|seconds| CONNECT_TIMEOUT_RANGE_S.contains(seconds));
    Duration::from_secs_f64(seconds.unwrap_or(DEFAULT_CONNECT_TIMEOUT_S))
}

/// Parses a seed of up to 16 hexadecimal digits; any other text is hashed.
fn parse_seed(text: &str) -> u64 {
    u64::from_str_radix(text, 16).unwrap_or_else(|_| stable_hash(text))
}

/// Reads a text file of the configuration.
pub fn read_file(path: &Path) -> Result<String, ConfigError> {
    std::fs::read_to_string(path).map_err(|source| ConfigError::Unreadable {
        path: path.to_path_buf(),
        source,
    })
}

/// Returns the value of an environment variable if it is set and not empty.
fn env_variable(name: &str) -> Option<String> {
    std::env::var(name).ok().filter(|value| !value.is_empty())
}

#[cfg(test)]
mod tests;
