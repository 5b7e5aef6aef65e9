//! Writing on at a stored file's end.

use std::io;
use std::sync::Arc;

use super::{FileInfo, Store, StoreError};
use crate::storage::OpenFile;
use crate::storage::file_system::write_all_at;
use crate::system_call::retry_on_interrupt;

/// The one writer of a file.
pub struct Appender {
    pub(super) lease: Arc<Lease>,
    pub(super) file: Arc<dyn OpenFile>,
}

impl Appender {
    /// Writes on, all of it or nothing that counts. What was written stays, also if the client goes
    /// before the end.
    pub async fn write(&mut self, bytes: &[u8]) -> Result<(), StoreError> {
        let (lease, file, bytes) = (self.lease.clone(), self.file.clone(), bytes.to_vec());
        let write = move || lease.write(&*file, &bytes);
        tokio::task::spawn_blocking(write)
            .await
            .unwrap_or_else(|e| Err(io::Error::other(e).into()))
    }

    /// Makes the file whole.
    pub fn finish(self) -> Result<FileInfo, StoreError> {
        let mut state = self.lease.store.state();
        let info = state
            .files
            .get_mut(&self.lease.id)
            .ok_or(StoreError::Unknown)?;
        info.ready = true;
        Ok(info.clone())
    }
}

/// The right to write a file. A write under way shares it, as that goes on also when the one who
/// waits for it is gone: the next writer comes after it.
pub(super) struct Lease {
    pub(super) store: Store,
    pub(super) id: String,
}

impl Lease {
    fn write(&self, file: &dyn OpenFile, bytes: &[u8]) -> Result<(), StoreError> {
        let count = bytes.len() as u64;
        // the size is told to the client as the offset to go on from: what a failed write left
        // behind it is written over
        let end = self.end_with_capacity(count)?;
        if let Err(e) = write_all_at(file, bytes, end) {
            // gives back the space; no reader goes beyond the size, so that nothing depends on it
            let _ = retry_on_interrupt(|| file.truncate(end));
            return Err(e.into());
        }
        let mut state = self.store.state();
        state.bytes += count;
        if let Some(info) = state.files.get_mut(&self.id) {
            info.bytes += count;
        }
        Ok(())
    }

    /// Where the file ends, if so many bytes more are within the limits.
    fn end_with_capacity(&self, count: u64) -> Result<u64, StoreError> {
        let state = self.store.state();
        let left = self.store.limits.spool.saturating_sub(state.bytes);
        let info = state.files.get(&self.id).ok_or(StoreError::Unknown)?;
        let most = info.total.unwrap_or(self.store.limits.file);
        if info.bytes + count > most {
            return Err(StoreError::TooLarge(most));
        }
        if count > left {
            return Err(StoreError::Full);
        }
        Ok(info.bytes)
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        if let Some(info) = self.store.state().files.get_mut(&self.id) {
            info.busy = false;
        }
    }
}
