//! Why a command of the program fails.

use std::io;
use std::path::PathBuf;
use std::time::Duration;

use crate::config::ConfigError;
use crate::error::RunError;
use crate::inventory::InventoryError;
use crate::net::http::HttpError;

/// Why a command fails; its text is what the program prints.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    /// A configuration file can't be used.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The router can't start.
    #[error(transparent)]
    Run(#[from] RunError),
    /// The descriptor that the platform passes can't be used.
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
    #[error("{0:?} is no id of 1 to 32 letters, digits and _")]
    InvalidKeyId(String),
    /// The system gives no random bytes.
    #[error("no random bytes: {0}")]
    NoRandomBytes(#[source] rand::rngs::SysError),
    /// Standard input can't be read.
    #[error("standard input: {0}")]
    StandardInput(#[source] io::Error),
    /// Standard input contains something else than a key.
    #[error("standard input holds no key (sk-ID-SECRET)")]
    NoKeyInInput,
    /// The variable of the key is not set.
    #[error("STILESPAN_KEY holds no key")]
    NoKeyVariable,
    /// The variable of the key contains characters that are not allowed in a header.
    #[error("STILESPAN_KEY holds no plain text")]
    InvalidKeyVariable,
    /// The runtime can't be started.
    #[error(transparent)]
    Runtime(io::Error),
    /// A running router doesn't give the budgets.
    #[error("{address}: {source}")]
    Budgets {
        /// The router's address.
        address: String,
        /// Why the request failed.
        source: BudgetsError,
    },
}

/// Why a running router doesn't give the budgets.
#[derive(Debug, thiserror::Error)]
pub enum BudgetsError {
    /// The connection can't be established, or the request not be sent.
    #[error(transparent)]
    Connection(#[from] io::Error),
    /// The answer is no HTTP, or not complete.
    #[error(transparent)]
    Http(#[from] HttpError),
    /// There is no answer in time.
    #[error("no answer in {} s", .0.as_secs())]
    TimedOut(Duration),
    /// The answer is no JSON.
    #[error("no JSON: {0}")]
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
