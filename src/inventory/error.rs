//! Errors of an inventory file. The texts are for the operator who wrote the file.

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
    /// The file is larger than [`MAX_FILE_BYTES`].
    #[error("the file is larger than {MAX_FILE_BYTES} bytes")]
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
    /// The file is not valid CSV.
    #[error(transparent)]
    Csv(csv::Error),
    /// The file is not valid YAML. The parser's full text repeats the position, so the error uses
    /// only its message.
    #[error("{}", .0.info())]
    Yaml(ScanError),
    /// The CSV header lacks a required column.
    #[error("the header has no column {0:?}")]
    MissingColumn(&'static str),
    /// A CSV record has no host name.
    #[error("the record has no host name")]
    MissingName,
    /// A YAML node must be a mapping, but has another type.
    #[error("{0} must be a mapping")]
    NotMapping(String),
    /// A key of a YAML mapping is not a scalar.
    #[error("{0}: a key must be plain text")]
    KeyNotScalar(String),
    /// A group has an unknown key.
    #[error("{group}: {key:?} is neither hosts, vars nor children")]
    UnknownGroupKey {
        /// The group's name.
        group: String,
        /// The unknown key.
        key: String,
    },
    /// Groups are nested too deeply.
    #[error("groups are nested more than {0} levels deep")]
    NestedTooDeeply(usize),
    /// A group is one of its own descendants.
    #[error("group {0} contains itself")]
    GroupCycle(String),
    /// The range in a host pattern is not valid.
    #[error("{0:?} contains an invalid range")]
    InvalidRange(String),
    /// Two hosts have the same name.
    #[error("{0} is listed twice")]
    DuplicateHost(String),
    /// The inventory lists more than [`MAX_HOSTS`] hosts.
    #[error("the inventory lists more than {MAX_HOSTS} hosts")]
    TooManyHosts,
    /// A variable of a host is invalid.
    #[error("{host}: {error}")]
    Host {
        /// The host's name.
        host: String,
        /// The problem in the variables of the host.
        #[source]
        error: HostError,
    },
}

/// A problem in a variable of a host.
#[derive(Debug, Error)]
pub enum HostError {
    /// The address is empty, or contains characters that are not allowed in addresses.
    #[error("{0:?} is not an address")]
    InvalidAddress(String),
    /// The port is not a number from 1 to 65535.
    #[error("{0:?} is not a port")]
    InvalidPort(String),
    /// The state is unknown.
    #[error("state {0:?} is neither serving nor draining")]
    UnknownState(String),
    /// The zone is not a configured zone, a number or a letter.
    #[error("zone {0:?} is not known")]
    UnknownZone(String),
    /// A numeric variable is not a number, or is out of range.
    #[error("{variable} {text:?} is not a number from 0 to {max}")]
    InvalidNumber {
        /// The variable's name.
        variable: &'static str,
        /// The variable's value.
        text: String,
        /// The largest valid value.
        max: f64,
    },
    /// A host lists the same model twice.
    #[error("model {0:?} is listed twice")]
    DuplicateModel(String),
    /// A host lists more than [`MAX_MODELS`] models.
    #[error("more than {MAX_MODELS} models are listed")]
    TooManyModels,
}

impl LineError {
    /// Adds the line in which the problem is.
    pub(super) fn at(self, line: usize) -> InventoryError {
        InventoryError::Line { line, error: self }
    }
}
