//! The maintenance state that outlives a process: exclusions and drain, as the text of one small
//! file. The file itself is written by [`crate::lifecycle`] and read by [`crate::net::handover`].

use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::exclusions::Exclusion;
use crate::interface::Timestamp;

/// The version of the file's format.
const FORMAT_VERSION: u32 = 1;

/// The exclusions and the drain that operators have commanded and that are in effect.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MaintenanceState {
    /// The exclusions, and those that ended a short while ago.
    #[serde(rename = "bans")]
    pub exclusions: Vec<Exclusion>,
    /// Whether the router is drained.
    #[serde(rename = "drained")]
    pub is_drained: bool,
}

/// Why a stored text can't be used.
#[derive(Debug, Error)]
pub enum ParseError {
    /// The text is truncated, or not a maintenance state.
    #[error("truncated or malformed: {0}")]
    Malformed(#[source] serde_json::Error),
    /// The text has another format version.
    #[error("format version {0}, and this program reads {FORMAT_VERSION}")]
    UnsupportedVersion(u64),
}

impl MaintenanceState {
    /// The same state with its times on another clock. `from` and `to`: what the two clocks read
    /// now.
    pub fn on_clock(self, from: Timestamp, to: Timestamp) -> MaintenanceState {
        MaintenanceState {
            exclusions: self
                .exclusions
                .into_iter()
                .map(|exclusion| exclusion.on_clock(from, to))
                .collect(),
            ..self
        }
    }

    /// The text to be stored.
    pub fn to_text(&self) -> String {
        serde_json::json!({"version": FORMAT_VERSION, "orders": self}).to_string()
    }

    /// Parses a stored text.
    pub fn parse(text: &[u8]) -> Result<MaintenanceState, ParseError> {
        let mut value: serde_json::Value =
            serde_json::from_slice(text).map_err(ParseError::Malformed)?;
        let version = value["version"].as_u64().unwrap_or_default();
        if version != u64::from(FORMAT_VERSION) {
            return Err(ParseError::UnsupportedVersion(version));
        }
        serde_json::from_value(value["orders"].take()).map_err(ParseError::Malformed)
    }
}

#[cfg(test)]
mod tests;
