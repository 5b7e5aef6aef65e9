//! Why the program can't run. The texts are what `stilespan` prints before it exits.

use std::io;
use std::path::{Path, PathBuf};

use thiserror::Error;

use crate::config::ConfigError;

/// Why the router couldn't start or go on.
#[derive(Debug, Error)]
pub enum RunError {
    /// The configuration is invalid.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// A clients' address can't be listened on.
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
    /// The directory of the batch service's files can't be used.
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
    /// A clients' address that can't be listened on.
    pub fn listen(address: &str, source: io::Error) -> RunError {
        RunError::Listen {
            address: address.into(),
            source,
        }
    }

    /// The operators' address can't be listened on.
    pub fn listen_admin(address: &str, source: io::Error) -> RunError {
        RunError::ListenAdmin {
            address: address.into(),
            source,
        }
    }

    /// A spool that can't be used.
    pub fn spool(path: &Path, source: io::Error) -> RunError {
        RunError::Spool {
            path: path.to_path_buf(),
            source,
        }
    }
}

#[cfg(test)]
mod tests;
