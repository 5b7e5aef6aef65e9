//! The errors of reading and parsing a configuration.

use std::path::{Path, PathBuf};

/// Why a router can't start with its configuration.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// A file can't be read.
    #[error("{}: {source}", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The error of the read.
        source: std::io::Error,
    },
    /// A file can't be parsed, or contains a value that is not allowed.
    #[error("{}: {problem}", path.display())]
    Malformed {
        /// The file.
        path: PathBuf,
        /// The first problem in the file.
        problem: String,
    },
    /// A required value is not set.
    #[error("{0} is not set")]
    Missing(&'static str),
}

impl ConfigError {
    /// Creates a [`ConfigError::Malformed`] for a file.
    pub fn malformed(path: &Path, problem: impl Into<String>) -> ConfigError {
        ConfigError::Malformed {
            path: path.to_path_buf(),
            problem: problem.into(),
        }
    }
}
