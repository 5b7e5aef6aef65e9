//! What all batches run on.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;

use crate::batch::concurrency::ConcurrencyLimit;
use crate::batch::edge_access::EdgeAccess;
use crate::batch::store::Store;
use crate::core::CoreHandle;
use crate::log_limit::LogLimit;

/// Limits of batches, and the class of their requests.
#[derive(Clone, Debug)]
pub struct JobOptions {
    /// The class of their requests, an index into the settings' list.
    pub class: u32,
    /// The name of the class.
    pub class_name: String,
    /// How long a request may wait for its first token: the deadline of the class.
    pub request_timeout: Duration,
    /// The most lines of an input file.
    pub max_lines: u64,
    /// The most bytes of a line.
    pub max_line_bytes: usize,
    /// The most batches that are remembered.
    pub max_batches: usize,
}

/// What all batches run on. Shared by the jobs and their workers.
pub struct JobContext {
    /// Runs lines where the edge is off.
    pub core: CoreHandle,
    /// Runs lines where the edge is on.
    pub edge: Option<EdgeAccess>,
    /// Holds input and result files.
    pub store: Store,
    /// Limits the lines in flight of all batches.
    pub concurrency: ConcurrencyLimit,
    /// The limits.
    pub options: JobOptions,
    /// Set once the router shuts down.
    pub shutting_down: watch::Receiver<bool>,
    /// Limits the log lines on errors of the spool, which all batches meet.
    pub spool_log: Arc<LogLimit>,
}
