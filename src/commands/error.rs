//! The errors of the program's commands.

use std::io;
use std::path::PathBuf;
use std::time::Duration;

use crate::config::ConfigError;
use crate::error::RunError;
use crate::inventory::InventoryError;
use crate::net::http::HttpError;

/// The error of a command. The program prints its text.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    /// A configuration file can't be used.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The router can't start.
    #[error(transparent)]
    Run(#[from] RunError),
    /// The listening socket that the platform passes as a file descriptor can't be used.
    #[error("GW_FD: {0}")]
    InheritedListener(#[source] inherited_listener::ListenerError),
    /// An inventory can't be used.
    #[error("{}: {source}", path.display())]
    Inventory {
        /// The inventory file.
        path: PathBuf,
        /// Why it can't be used.
        source: InventoryError,
    },
    /// The id for a new key is not allowed.
    #[error("{0:?} is not a valid id: expected 1 to 32 letters, digits and _")]
    InvalidKeyId(String),
    /// The operating system returns no random bytes.
    #[error("the system returned no random bytes: {0}")]
    NoRandomBytes(#[source] rand::rngs::SysError),
    /// Standard input can't be read.
    #[error("standard input: {0}")]
    StandardInput(#[source] io::Error),
    /// Standard input doesn't contain a key.
    #[error("standard input contains no key (sk-ID-SECRET)")]
    NoKeyInInput,
    /// `STILESPAN_KEY` is not set, or not valid Unicode.
    #[error("STILESPAN_KEY is not set or is not valid Unicode")]
    NoKeyVariable,
    /// `STILESPAN_KEY` contains characters that are not allowed in a header.
    #[error("STILESPAN_KEY contains characters that are not allowed in a header")]
    InvalidKeyVariable,
    /// The runtime can't be started.
    #[error(transparent)]
    Runtime(io::Error),
    /// The budgets can't be fetched from a running router.
    #[error("{address}: {source}")]
    Budgets {
        /// The router's address.
        address: String,
        /// Why the request failed.
        source: BudgetsError,
    },
}

/// The error of fetching the budgets from a running router.
#[derive(Debug, thiserror::Error)]
pub enum BudgetsError {
    /// The connection can't be established, or the request can't be sent.
    #[error(transparent)]
    Connection(#[from] io::Error),
    /// The answer is not valid HTTP, or is incomplete.
    #[error(transparent)]
    Http(#[from] HttpError),
    /// The router doesn't answer within the timeout.
    #[error("no answer within {} s", .0.as_secs())]
    TimedOut(Duration),
    /// The answer is not JSON.
    #[error("the answer is not JSON: {0}")]
    Json(#[source] serde_json::Error),
    /// The router rejects the request.
    #[error("{status}: {message}")]
    Rejected {
        /// The status of the answer.
        status: u16,
        /// The router's explanation.
        message: String,
    },
}
