//! The table of batches, shared by API requests and batch workers.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use serde_json::Value;

use super::batch::Batch;
use super::error::JobError;
use crate::edge::Caller;

/// The batches by id. Clones share the same table.
#[derive(Clone, Default)]
pub(super) struct BatchTable {
    batches: Arc<Mutex<BTreeMap<String, Batch>>>,
}

impl BatchTable {
    fn lock(&self) -> MutexGuard<'_, BTreeMap<String, Batch>> {
        self.batches.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a batch. If the table is full, removes the oldest batch that has ended, but not its
    /// result file. Fails if no batch has ended.
    pub(super) fn insert(&self, batch: Batch, max_batches: usize) -> Result<(), JobError> {
        let mut batches = self.lock();
        if batches.len() >= max_batches {
            let removable = batches.values().filter(|batch| batch.status.is_final());
            let oldest = removable.min_by_key(|batch| batch.number);
            let oldest = oldest.ok_or(JobError::Full)?.id.clone();
            batches.remove(&oldest);
        }
        batches.insert(batch.id.clone(), batch);
        Ok(())
    }

    /// Applies `change` to a batch, if it is in the table.
    pub(super) fn update(&self, id: &str, change: impl FnOnce(&mut Batch)) {
        if let Some(batch) = self.lock().get_mut(id) {
            change(batch);
        }
    }

    /// Runs an operation on a batch that the caller may see.
    pub(super) fn visible<T>(
        &self,
        id: &str,
        caller: &Caller,
        operation: impl FnOnce(&mut Batch) -> Result<T, JobError>,
    ) -> Result<T, JobError> {
        let mut batches = self.lock();
        let batch = batches
            .get_mut(id)
            .filter(|batch| caller.sees(&batch.owner))
            .ok_or(JobError::Unknown)?;
        operation(batch)
    }

    /// The objects of all batches that the caller may see, newest first.
    pub(super) fn list(&self, caller: &Caller) -> Vec<Value> {
        let batches = self.lock();
        let visible = batches.values().filter(|batch| caller.sees(&batch.owner));
        let mut visible: Vec<&Batch> = visible.collect();
        visible.sort_by_key(|batch| Reverse(batch.number));
        visible.into_iter().map(Batch::object).collect()
    }

    /// Whether any batch has not ended.
    pub(super) fn any_in_progress(&self) -> bool {
        self.lock().values().any(|batch| !batch.status.is_final())
    }
}
