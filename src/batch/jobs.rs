//! Batches: a file's lines, each run as one RPC through the core, and one result file with one
//! outcome a line.

mod batch;
mod call;
mod lines;
mod retry;
mod run;

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use serde_json::Value;
use tokio::io::AsyncReadExt;
use tokio::sync::watch;

use super::edge_access::EdgeAccess;
use super::store::{Store, StoreError, unix};
use super::window::Window;
use crate::core::CoreHandle;
use crate::edge::Caller;
use crate::log_limit::LogLimit;

use batch::Batch;
pub use batch::Status;
use run::Run;

/// What the batches run on.
pub struct Options {
    /// The class of their RPCs.
    pub class: u32,
    /// Its name.
    pub class_name: String,
    /// Its deadline.
    pub patience: Duration,
    /// Lines of a file at the most.
    pub max_lines: u64,
    /// Bytes of a line at the most.
    pub max_line: usize,
    /// Batches that are remembered at the most.
    pub max_batches: usize,
}

/// Why a batch can't be created or found.
#[derive(Debug)]
pub enum JobError {
    /// No batch of this id.
    Unknown,
    /// It has ended already.
    Ended,
    /// Too many are under way.
    Full,
    /// Its input file.
    File(StoreError),
}

impl std::fmt::Display for JobError {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            JobError::Unknown => out.write_str("no such batch"),
            JobError::Ended => out.write_str("the batch has ended"),
            JobError::Full => out.write_str("too many batches are under way"),
            JobError::File(e) => write!(out, "the input file: {e}"),
        }
    }
}

impl std::error::Error for JobError {}

/// All batches; copies share them.
#[derive(Clone)]
pub struct Jobs {
    core: CoreHandle,
    live: Option<EdgeAccess>,
    store: Store,
    window: Window,
    options: Arc<Options>,
    ending: watch::Receiver<bool>,
    batches: Arc<Mutex<BTreeMap<String, Batch>>>,
    /// Batches created so far: their order, which a stepped wall clock does not change.
    created: Arc<AtomicU64>,
    /// For the spool's errors, which all batches meet.
    log: Arc<LogLimit>,
}

/// A batch as a client asks for it.
pub struct Order {
    /// The input file.
    pub input: String,
    /// The endpoint that all its lines name.
    pub endpoint: String,
    /// How long it may take, as text and as a time.
    pub window: (String, Duration),
    /// The client's own notes.
    pub metadata: Value,
    /// Who asks, and pays for it.
    pub caller: Caller,
}

impl Jobs {
    /// No batches yet.
    pub fn new(
        core: CoreHandle,
        store: Store,
        window: Window,
        options: Options,
        ending: watch::Receiver<bool>,
        live: Option<EdgeAccess>,
    ) -> Jobs {
        let (options, batches) = (Arc::new(options), Arc::default());
        let log = Arc::new(LogLimit::new());
        Jobs {
            core,
            live,
            store,
            window,
            options,
            ending,
            batches,
            created: Arc::default(),
            log,
        }
    }

    fn batches(&self) -> MutexGuard<'_, BTreeMap<String, Batch>> {
        self.batches.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Creates a batch and starts it.
    pub async fn create(&self, order: Order) -> Result<Value, JobError> {
        let (file, info) = self
            .store
            .read(&order.input)
            .await
            .map_err(JobError::File)?;
        let id = self.store.fresh_id("batch_");
        let (cancel, cancelled) = watch::channel(false);
        let created = unix();
        let batch = Batch {
            id: id.clone(),
            number: self.created.fetch_add(1, Ordering::Relaxed),
            endpoint: order.endpoint.clone(),
            input: order.input,
            output: None,
            window: order.window.0,
            metadata: order.metadata,
            owner: order.caller.clone(),
            status: Status::Validating,
            problem: None,
            created,
            expires: created + order.window.1.as_secs(),
            times: Vec::new(),
            total: 0,
            completed: 0,
            failed: 0,
            cancel,
        };
        let object = batch.object();
        {
            let mut batches = self.batches();
            if batches.len() >= self.options.max_batches {
                // the oldest that has ended is forgotten; its result file stays
                let ended = batches
                    .values()
                    .filter(|b| b.status.ended())
                    .min_by_key(|b| b.number);
                let oldest = ended.map(|b| b.id.clone()).ok_or(JobError::Full)?;
                batches.remove(&oldest);
            }
            batches.insert(id.clone(), batch);
        }
        let until = Instant::now() + order.window.1;
        let (jobs, caller) = (self.clone(), order.caller);
        let run = Run {
            jobs,
            id,
            endpoint: order.endpoint,
            cancelled,
            until,
            caller,
        };
        // nothing behind the counted bytes is the file's
        tokio::spawn(run.run(file.take(info.bytes)));
        Ok(object)
    }

    /// A batch's object.
    pub fn get(&self, id: &str, caller: &Caller) -> Result<Value, JobError> {
        let batches = self.batches();
        batches
            .get(id)
            .filter(|b| caller.sees(&b.owner))
            .map(Batch::object)
            .ok_or(JobError::Unknown)
    }

    /// All batches that a caller may see, the latest first.
    pub fn list(&self, caller: &Caller) -> Vec<Value> {
        let batches = self.batches();
        let mut all: Vec<&Batch> = batches.values().filter(|b| caller.sees(&b.owner)).collect();
        all.sort_by_key(|b| std::cmp::Reverse(b.number));
        all.into_iter().map(Batch::object).collect()
    }

    /// Cancels a batch: lines in flight are finished, the rest get an outcome that says so.
    pub fn cancel(&self, id: &str, caller: &Caller) -> Result<Value, JobError> {
        let mut batches = self.batches();
        let batch = batches
            .get_mut(id)
            .filter(|b| caller.sees(&b.owner))
            .ok_or(JobError::Unknown)?;
        if batch.status.ended() {
            return Err(JobError::Ended);
        }
        if batch.status != Status::Cancelling {
            batch.come_to(Status::Cancelling);
        }
        let _ = batch.cancel.send(true);
        Ok(batch.object())
    }

    /// Waits until no batch is under way.
    pub async fn settle(&self) {
        while self.batches().values().any(|b| !b.status.ended()) {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

#[cfg(test)]
mod tests;
