//! The dependencies and limits that all batches share.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;

use crate::batch::concurrency::ConcurrencyLimit;
use crate::batch::edge_access::EdgeAccess;
use crate::batch::store::Store;
use crate::core::CoreHandle;
use crate::log_limit::LogLimit;

/// Limits of batches and the class of their requests.
#[derive(Clone, Debug)]
pub struct JobOptions {
    /// The class of the requests: an index into the list of classes in the settings.
    pub class: u32,
    /// The name of the class.
    pub class_name: String,
    /// How long a request may wait for its first token: the deadline of the class.
    pub request_timeout: Duration,
    /// The maximum number of lines in an input file.
    pub max_lines: u64,
    /// The maximum length of a line in bytes.
    pub max_line_bytes: usize,
    /// The maximum number of batches in the table, including those that have ended.
    pub max_batches: usize,
}

/// The dependencies and limits of all batches, shared by [`super::BatchJobs`] and its workers.
pub struct JobContext {
    /// Runs lines if the edge is disabled.
    pub core: CoreHandle,
    /// Runs lines if the edge is enabled.
    pub edge: Option<EdgeAccess>,
    /// Stores input and result files.
    pub store: Store,
    /// Limits the number of lines in flight across all batches.
    pub concurrency: ConcurrencyLimit,
    /// The limits and the class.
    pub options: JobOptions,
    /// Set to `true` when the router shuts down.
    pub shutting_down: watch::Receiver<bool>,
    /// Limits the log lines about spool errors, which affect all batches.
    pub spool_log: Arc<LogLimit>,
}
