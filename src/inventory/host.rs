//! Builds an endpoint from the variables of a host: its address, zone, state, size and models.

use super::error::{HostError, LineError};
use super::variables::{Variable, Variables};
use super::{InventoryError, MAX_MODELS};
use crate::core::Endpoint;
use crate::interface::{EndpointState, ReplicaEntry, ReplicaId, Timestamp};
use crate::net::discovery::endpoint_list::zone_number;

/// The port of a host if neither its address nor its variables contain one.
const DEFAULT_PORT: &str = "9000";
/// The relative capacity of a host that does not set one.
const DEFAULT_SIZE: f64 = 1.0;
/// The maximum relative capacity.
const MAX_SIZE: f64 = 1e6;
/// The maximum cell number.
const MAX_CELL: f64 = 1e6;
/// The maximum start time, in milliseconds since 1970 (in the year 5138).
const MAX_START_MS: f64 = 1e14;

/// One host of an inventory.
pub(super) struct Host<'a> {
    /// The host's name, by which routers identify the model server.
    pub(super) name: &'a str,
    /// The line that lists the host, from 1.
    pub(super) line: usize,
    /// The host's own variables and those that it inherits.
    pub(super) variables: &'a Variables,
}

impl Host<'_> {
    /// Builds the endpoint. Its zone is numbered by its position in `localities`.
    pub(super) fn to_endpoint(&self, localities: &[String]) -> Result<Endpoint, InventoryError> {
        let address = self.address()?;
        let state = self.state()?;
        let zone = self.zone(localities)?;
        let cell = self.number(&["cell"], MAX_CELL)?.unwrap_or(0.0) as u32;
        let start_ms = self.number(&["up_since_ms"], MAX_START_MS)?;
        let size = self.number(&["size", "weight"], MAX_SIZE)?;
        let entry = ReplicaEntry {
            replica: ReplicaId::from_name(self.name),
            zone,
            cell,
            state,
            started_at: Timestamp::from_millis(start_ms.unwrap_or(0.0) as u64),
            weight: size.unwrap_or(DEFAULT_SIZE),
            ..ReplicaEntry::default()
        };
        Ok(Endpoint {
            name: self.name.to_string(),
            address,
            entry,
            models: self.models()?,
        })
    }

    /// The address with its port. The port comes from the address itself, otherwise from a
    /// variable, otherwise it is the default.
    fn address(&self) -> Result<String, InventoryError> {
        let variable = self.variables.get(&["address", "ansible_host"]);
        let line = variable.map_or(self.line, |variable| variable.line);
        let address = variable.map_or(self.name, |variable| &variable.text);
        let (host, port) = match split_port(address) {
            Some((host, port)) => (host, port),
            None => (address, self.port()),
        };
        if !is_valid_host(host) {
            return Err(self.error(HostError::InvalidAddress(address.to_string()), line));
        }
        if !is_valid_port(port) {
            return Err(self.error(HostError::InvalidPort(port.to_string()), line));
        }
        if host.contains(':') && !host.starts_with('[') {
            return Ok(format!("[{host}]:{port}"));
        }
        Ok(format!("{host}:{port}"))
    }

    fn port(&self) -> &str {
        self.variables
            .get(&["port", "ansible_port"])
            .map_or(DEFAULT_PORT, |variable| &variable.text)
    }

    fn state(&self) -> Result<EndpointState, InventoryError> {
        let Some(variable) = self.variables.get(&["state", "phase"]) else {
            return Ok(EndpointState::InService);
        };
        let state = variable.text.to_ascii_lowercase();
        match state.as_str() {
            "serving" | "in_service" | "present" | "up" => Ok(EndpointState::InService),
            "draining" | "terminating" | "drain" => Ok(EndpointState::Draining),
            _ => Err(self.error(HostError::UnknownState(state), variable.line)),
        }
    }

    fn zone(&self, localities: &[String]) -> Result<u32, InventoryError> {
        let Some(Variable { text, line }) = self.variables.get(&["zone", "locality"]) else {
            return Ok(0);
        };
        match zone_number(text, localities) {
            u32::MAX => Err(self.error(HostError::UnknownZone(text.clone()), *line)),
            zone => Ok(zone),
        }
    }

    /// A numeric variable from 0 to `max`, under the first of these names that is set. Errors use
    /// the first name in `names`.
    fn number(&self, names: &[&'static str], max: f64) -> Result<Option<f64>, InventoryError> {
        let Some(Variable { text, line }) = self.variables.get(names) else {
            return Ok(None);
        };
        match text.parse::<f64>() {
            Ok(number) if (0.0..=max).contains(&number) => Ok(Some(number)),
            _ => {
                let error = HostError::InvalidNumber {
                    variable: names[0],
                    text: text.clone(),
                    max,
                };
                Err(self.error(error, *line))
            }
        }
    }

    /// The models, separated by spaces, commas or semicolons. `None` if the host lists no models,
    /// which means that it serves every model.
    fn models(&self) -> Result<Option<Vec<String>>, InventoryError> {
        let Some(Variable { text, line }) = self.variables.get(&["models"]) else {
            return Ok(None);
        };
        let names = text
            .split(|separator: char| separator.is_whitespace() || matches!(separator, ',' | ';'))
            .filter(|name| !name.is_empty());
        let mut models: Vec<String> = Vec::new();
        for name in names {
            if models.iter().any(|model| model == name) {
                return Err(self.error(HostError::DuplicateModel(name.to_string()), *line));
            }
            if models.len() >= MAX_MODELS {
                return Err(self.error(HostError::TooManyModels, *line));
            }
            models.push(name.to_string());
        }
        Ok(Some(models))
    }

    fn error(&self, error: HostError, line: usize) -> InventoryError {
        let host = self.name.to_string();
        LineError::Host { host, error }.at(line)
    }
}

/// Splits an address that ends in a port into its host and port. An IPv6 address has a port only if
/// it is in brackets.
fn split_port(address: &str) -> Option<(&str, &str)> {
    address
        .rsplit_once(':')
        .filter(|(host, _)| !host.contains(':') || host.ends_with(']'))
}

fn is_valid_host(host: &str) -> bool {
    let is_forbidden =
        |character: char| character.is_whitespace() || character.is_control() || character == '/';
    !host.is_empty() && !host.contains(is_forbidden)
}

fn is_valid_port(text: &str) -> bool {
    text.parse::<u16>().is_ok_and(|port| port != 0)
}
