//! Batch jobs. Each job sends the lines of an input file as requests through the core or the edge,
//! and writes one outcome per line to a result file.

mod batch;
mod context;
mod core_submission;
mod edge_submission;
mod error;
mod input_file;
mod line_scheduler;
mod line_worker;
mod lines;
mod new_batch;
mod pending_line;
mod postponed_lines;
mod result_file;
mod retry;
mod stop;
mod table;
mod worker;

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use serde_json::Value;
use tokio::sync::watch;

use super::wall_clock::unix_seconds;
use crate::edge::Caller;

use batch::Batch;
use input_file::InputFile;
use retry::SpoolRetrier;
use stop::StopSignal;
use table::BatchTable;
use worker::BatchWorker;

pub use batch::BatchStatus;
pub use context::{JobContext, JobOptions};
pub use error::JobError;
pub use new_batch::{CompletionWindow, NewBatch};

/// How often [`BatchJobs::settle`] checks whether all batches have ended.
const SETTLE_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// All batches. Clones share them.
#[derive(Clone)]
pub struct BatchJobs {
    context: Arc<JobContext>,
    table: BatchTable,
    /// The number of batches created so far. It numbers the batches in the order of their creation,
    /// which does not depend on the wall clock.
    created: Arc<AtomicU64>,
}

impl BatchJobs {
    /// Creates an empty set of batches.
    pub fn new(context: JobContext) -> BatchJobs {
        BatchJobs {
            context: Arc::new(context),
            table: BatchTable::default(),
            created: Arc::default(),
        }
    }

    /// Creates a batch and starts it; returns its object. A batch whose result file has no place in
    /// the store is not accepted.
    pub async fn create(&self, new: NewBatch) -> Result<Value, JobError> {
        let store = &self.context.store;
        let input = store.read(&new.input_file).await.map_err(JobError::File)?;
        let id = store.fresh_id("batch_");
        let reservation = result_file::reserve(store, &id, &new.owner).map_err(JobError::Result)?;
        let (cancel, cancelled) = watch::channel(false);
        let number = self.created.fetch_add(1, Ordering::Relaxed);
        let expires_at = Instant::now() + new.completion_window.duration;
        let worker = BatchWorker {
            context: self.context.clone(),
            table: self.table.clone(),
            endpoint: new.endpoint.clone(),
            owner: new.owner.clone(),
            retrier: SpoolRetrier {
                batch_id: id.clone(),
                stop: StopSignal {
                    cancelled,
                    shutting_down: self.context.shutting_down.clone(),
                    expires_at,
                },
                log_limit: self.context.spool_log.clone(),
            },
        };
        let batch = Batch::new(id, number, new, cancel, unix_seconds());
        let object = batch.object();
        let max_batches = self.context.options.max_batches;
        self.table.insert(batch, max_batches)?;
        let input = InputFile::new(input).await;
        tokio::spawn(worker.run(input, reservation));
        Ok(object)
    }

    /// The API object of a batch.
    pub fn get(&self, id: &str, caller: &Caller) -> Result<Value, JobError> {
        self.table.visible(id, caller, |batch| Ok(batch.object()))
    }

    /// The API objects of all batches that a caller may see, newest first.
    pub fn list(&self, caller: &Caller) -> Vec<Value> {
        self.table.list(caller)
    }

    /// Cancels a batch and returns its object. Lines in flight are finished; the remaining lines
    /// get an outcome with the error that the batch was cancelled.
    pub fn cancel(&self, id: &str, caller: &Caller) -> Result<Value, JobError> {
        self.table.visible(id, caller, |batch| {
            batch.cancel()?;
            Ok(batch.object())
        })
    }

    /// Waits until no batch is in progress.
    pub async fn settle(&self) {
        while self.table.any_in_progress() {
            tokio::time::sleep(SETTLE_CHECK_INTERVAL).await;
        }
    }
}

#[cfg(test)]
mod tests;
