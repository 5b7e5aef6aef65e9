//! Why an inventory can't be used. The texts are for the operator who wrote the file.

use std::io;

use saphyr::ScanError;
use thiserror::Error;

use super::{MAX_FILE_BYTES, MAX_HOSTS, MAX_MODELS};

/// Why an inventory can't be used.
#[derive(Debug, Error)]
pub enum InventoryError {
    /// The file can't be read.
    #[error(transparent)]
    Unreadable(#[from] io::Error),
    /// The file exceeds its limit.
    #[error("the file is over {MAX_FILE_BYTES} bytes")]
    TooLarge,
    /// A line is invalid.
    #[error("line {line}: {error}")]
    Line {
        /// The line's number, from 1.
        line: usize,
        /// The problem in the line.
        #[source]
        error: LineError,
    },
}

/// A problem in a line of an inventory.
#[derive(Debug, Error)]
pub enum LineError {
    /// The file is no CSV.
    #[error(transparent)]
    Csv(csv::Error),
    /// The file is no YAML. The parser's own text repeats the position, which is left out here.
    #[error("{}", .0.info())]
    Yaml(ScanError),
    /// The CSV header lacks a required column.
    #[error("the header has no column {0:?}")]
    MissingColumn(&'static str),
    /// A CSV record names no host.
    #[error("no name")]
    MissingName,
    /// A YAML node that has to be a mapping is something else.
    #[error("{0} must be a mapping")]
    NotMapping(String),
    /// A key of a YAML mapping is no scalar.
    #[error("{0}: a name must be plain text")]
    KeyNotScalar(String),
    /// A group has a key that groups don't have.
    #[error("{group}: {key:?} is neither hosts, vars nor children")]
    UnknownGroupKey {
        /// The group's name.
        group: String,
        /// The unknown key.
        key: String,
    },
    /// Groups are nested too deeply.
    #[error("groups are nested over {0} deep")]
    NestedTooDeeply(usize),
    /// A group is among its own descendants.
    #[error("group {0} contains itself")]
    GroupCycle(String),
    /// The range in a host pattern is no valid one.
    #[error("{0:?}: invalid range")]
    InvalidRange(String),
    /// Two hosts have one name.
    #[error("{0} is listed twice")]
    DuplicateHost(String),
    /// There are too many hosts.
    #[error("over {MAX_HOSTS} hosts")]
    TooManyHosts,
    /// A host's variable is invalid.
    #[error("{host}: {error}")]
    Host {
        /// The host's name.
        host: String,
        /// The problem in the host's variables.
        #[source]
        error: HostError,
    },
}

/// A problem in a variable of a host.
#[derive(Debug, Error)]
pub enum HostError {
    /// The address contains characters that no address has, or is empty.
    #[error("{0:?} is no address")]
    InvalidAddress(String),
    /// The port is no number from 1 to 65535.
    #[error("{0:?} is no port")]
    InvalidPort(String),
    /// The state is unknown.
    #[error("state {0:?} is neither serving nor draining")]
    UnknownState(String),
    /// The zone is neither a configured one nor a number or letter.
    #[error("zone {0:?} is not known")]
    UnknownZone(String),
    /// A numeric variable is no number, or out of its range.
    #[error("{variable} {text:?} is no number from 0 to {max}")]
    InvalidNumber {
        /// The variable's name.
        variable: &'static str,
        /// The variable's value.
        text: String,
        /// The largest valid value.
        max: f64,
    },
    /// One model is listed twice.
    #[error("model {0:?} is listed twice")]
    DuplicateModel(String),
    /// There are too many models.
    #[error("over {MAX_MODELS} models")]
    TooManyModels,
}

impl LineError {
    /// The error with the line that it is about.
    pub(super) fn at(self, line: usize) -> InventoryError {
        InventoryError::Line { line, error: self }
    }
}
