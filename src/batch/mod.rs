//! The batch service. Clients upload files and create batches from them. The service runs each line
//! of a batch as a request through the core or the edge, and writes one result file per batch,
//! which clients download.
//!
//! The HTTP API follows the OpenAI Files and Batches APIs. It adds resumable uploads for unreliable
//! connections, and serves the edge's live chat requests on the same address. [`http_api`] and
//! [`jobs`] depend on the store and the edge; neither [`jobs`] nor [`store`] depends on
//! [`http_api`].

pub mod completion;
pub mod concurrency;
pub mod edge_access;
pub mod http_api;
pub mod jobs;
pub mod line;
mod options;
pub mod store;
mod wall_clock;

use std::sync::Arc;
use std::time::Duration;

use tokio::net::TcpListener;

use crate::config::{Config, ConfigError};
use crate::core::CoreHandle;
use crate::error::RunError;
use crate::log_limit::LogLimit;
use crate::net::listener::{self, ListenerContext};

use concurrency::ConcurrencyLimit;
use edge_access::EdgeAccess;
use http_api::HttpContext;
use jobs::{BatchJobs, JobContext, JobOptions};
use store::{Store, StoreLimits};

pub use options::{Limits, Options};

/// The batch service after it has started to listen.
pub struct BatchService {
    listener: TcpListener,
    listener_context: ListenerContext,
    http_context: Arc<HttpContext>,
    jobs: BatchJobs,
}

/// Opens the spool and listens on the address.
pub async fn open(
    options: Options,
    config: &Config,
    core: CoreHandle,
    listener_context: ListenerContext,
    edge: Option<EdgeAccess>,
) -> Result<BatchService, RunError> {
    let job_options = job_options(&options, config)?;
    let listener = TcpListener::bind(&options.listen)
        .await
        .map_err(|e| RunError::listen(&options.listen, e))?;
    let store = open_store(&options)?;
    let jobs = BatchJobs::new(JobContext {
        concurrency: ConcurrencyLimit::new(options.window, core.clone()),
        core,
        edge: edge.clone(),
        store: store.clone(),
        options: job_options,
        shutting_down: listener_context.shutting_down.clone(),
        spool_log: Arc::new(LogLimit::new()),
    });
    let max_completion_window = Duration::from_secs(options.limits.window_s);
    let http_context = HttpContext::new(
        store,
        jobs.clone(),
        edge,
        options.endpoints,
        max_completion_window,
        config.memory_bytes,
    );
    Ok(BatchService {
        listener,
        listener_context,
        http_context: Arc::new(http_context),
        jobs,
    })
}

fn open_store(options: &Options) -> Result<Store, RunError> {
    let limits = StoreLimits {
        file_bytes: options.limits.file_mb << 20,
        spool_bytes: options.limits.spool_mb << 20,
        files: options.limits.files,
    };
    Store::open(&options.spool, limits).map_err(|e| RunError::spool(&options.spool, e))
}

fn job_options(options: &Options, config: &Config) -> Result<JobOptions, ConfigError> {
    let class = config.classes.iter().position(|c| *c == options.class);
    let class = class.ok_or(ConfigError::Missing(
        "the batch front's class (one of the configured classes)",
    ))?;
    Ok(JobOptions {
        class: class as u32,
        class_name: options.class.clone(),
        request_timeout: Duration::from(config.settings.classes[class].deadline),
        max_lines: options.limits.lines,
        max_line_bytes: options.limits.line_kb << 10,
        max_batches: options.limits.batches.max(1),
    })
}

impl BatchService {
    /// The address that the service listens on.
    pub fn address(&self) -> std::io::Result<std::net::SocketAddr> {
        self.listener.local_addr()
    }

    /// Serves clients until the process shuts down, then waits until the outcome of every line has
    /// been written.
    pub async fn serve(self) {
        let handle = listener::handler(self.http_context, http_api::run);
        let timeouts = http_api::CLIENT_TIMEOUTS;
        listener::serve(self.listener_context, timeouts, self.listener, handle).await;
        self.jobs.settle().await;
    }
}
