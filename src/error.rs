//! The errors that end the program. `stilespan` prints their texts before it exits.

use std::io;
use std::path::{Path, PathBuf};

use thiserror::Error;

use crate::config::ConfigError;

/// The reason why the router couldn't start or continue.
#[derive(Debug, Error)]
pub enum RunError {
    /// The configuration is invalid.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// An address for clients can't be listened on.
    #[error("can't listen on {address}: {source}")]
    Listen {
        /// The address as configured.
        address: String,
        /// The error of the socket.
        source: io::Error,
    },
    /// The operators' address can't be listened on.
    #[error("can't listen on {address}, the operators' address: {source}")]
    ListenAdmin {
        /// The address as configured.
        address: String,
        /// The error of the socket.
        source: io::Error,
    },
    /// The spool, the directory of the batch service's files, can't be used.
    #[error("{}: the spool: {source}", path.display())]
    Spool {
        /// The directory.
        path: PathBuf,
        /// The error of the file system.
        source: io::Error,
    },
    /// The runtime or the signal handlers can't be set up.
    #[error("{0}")]
    System(#[source] io::Error),
}

impl RunError {
    /// Creates a [`RunError::Listen`] for an address.
    pub fn listen(address: &str, source: io::Error) -> RunError {
        RunError::Listen {
            address: address.into(),
            source,
        }
    }

    /// Creates a [`RunError::ListenAdmin`] for an address.
    pub fn listen_admin(address: &str, source: io::Error) -> RunError {
        RunError::ListenAdmin {
            address: address.into(),
            source,
        }
    }

    /// Creates a [`RunError::Spool`] for a directory.
    pub fn spool(path: &Path, source: io::Error) -> RunError {
        RunError::Spool {
            path: path.to_path_buf(),
            source,
        }
    }
}

#[cfg(test)]
mod tests;
