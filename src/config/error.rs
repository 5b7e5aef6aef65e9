//! Why a configuration can't be used.

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
    /// A file has another form than it should have, or a value that is not allowed.
    #[error("{}: {problem}", path.display())]
    Malformed {
        /// The file.
        path: PathBuf,
        /// The first problem in the file.
        problem: String,
    },
    /// A value is missing.
    #[error("{0} is not set")]
    Missing(&'static str),
}

impl ConfigError {
    /// A file that is [`ConfigError::Malformed`].
    pub fn malformed(path: &Path, problem: impl Into<String>) -> ConfigError {
        ConfigError::Malformed {
            path: path.to_path_buf(),
            problem: problem.into(),
        }
    }
}
