//! The maintenance state (exclusions and drain) that is passed on to the next process, and its
//! encoding as the text of one small file. [`crate::lifecycle`] writes the file, and
//! [`crate::net::handover`] reads it.

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
    /// The current exclusions, and those that ended recently.
    #[serde(rename = "bans")]
    pub exclusions: Vec<Exclusion>,
    /// Whether the router is drained.
    #[serde(rename = "drained")]
    pub is_drained: bool,
}

/// Why a stored text can't be parsed.
#[derive(Debug, Error)]
pub enum ParseError {
    /// The text is truncated, or does not encode a maintenance state.
    #[error("truncated or malformed: {0}")]
    Malformed(#[source] serde_json::Error),
    /// The text has a different format version.
    #[error("unsupported format version {0}; this program reads version {FORMAT_VERSION}")]
    UnsupportedVersion(u64),
}

impl MaintenanceState {
    /// Converts the times of the state to another clock. `from` and `to`: the current time on the
    /// old and on the new clock.
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

    /// Encodes the state as the text to be stored.
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
