//! The operators' commands and their errors. The JSON form of a command is part of the handover
//! protocol, and the error texts are part of the operators' interface.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::core::MaintenanceError;
use crate::storage::NotWritten;

/// A command of an operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AdminCommand {
    /// Reports whether this process is ready to serve.
    Ready,
    /// Reports the metrics.
    Metrics,
    /// Excludes the model server of this name.
    Disable(String),
    /// Restores the model server of this name.
    Enable(String),
    /// Stops accepting clients.
    Drain,
    /// Accepts clients again.
    Undrain,
}

/// Why a command failed.
#[derive(Clone, Debug, Error)]
pub enum AdminError {
    /// The process isn't ready to serve.
    #[error("not ready")]
    NotReady,
    /// No endpoint list has ever named the model server.
    #[error("no list has ever named this model server")]
    UnknownServer,
    /// The router is shutting down.
    #[error("the router is ending")]
    ShuttingDown,
    /// The command is in effect in this process, but a restart would lose it.
    #[error("done, but it can't be kept for the next process: {0}")]
    NotPersisted(#[source] NotWritten),
    /// The command is in effect in this process, but another process of the router did not confirm
    /// it.
    #[error("done here, but the router's other process does not answer")]
    PeerUnreachable,
}

impl From<MaintenanceError> for AdminError {
    fn from(error: MaintenanceError) -> AdminError {
        match error {
            MaintenanceError::CoreStopped => AdminError::ShuttingDown,
            MaintenanceError::UnknownServer => AdminError::UnknownServer,
        }
    }
}

#[cfg(test)]
mod tests;
