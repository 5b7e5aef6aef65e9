//! Appends to a stored file.

use std::io;
use std::sync::Arc;

use super::{FileInfo, Store, StoreError};
use crate::storage::OpenFile;
use crate::storage::file_system::{retry_on_interrupt, write_all_at};

/// The one writer of a file.
pub struct Appender {
    pub(super) lease: Arc<WriteLease>,
    pub(super) file: Arc<dyn OpenFile>,
}

impl Appender {
    /// Appends the bytes: all of them, or none that count. They stay in the file, also if the
    /// client disconnects before the end.
    pub async fn write(&mut self, bytes: &[u8]) -> Result<(), StoreError> {
        let (lease, file, bytes) = (self.lease.clone(), self.file.clone(), bytes.to_vec());
        let write = move || lease.write(&*file, &bytes);
        tokio::task::spawn_blocking(write)
            .await
            .unwrap_or_else(|e| Err(io::Error::other(e).into()))
    }

    /// Marks the file as complete.
    pub fn finish(self) -> Result<FileInfo, StoreError> {
        let mut state = self.lease.store.state();
        let info = state
            .files
            .get_mut(&self.lease.id)
            .ok_or(StoreError::Unknown)?;
        info.is_complete = true;
        Ok(info.clone())
    }
}

/// The right to write a file. A write in progress shares it, since it goes on even if nobody waits
/// for it any more: the next writer has to wait until it has ended.
pub(super) struct WriteLease {
    pub(super) store: Store,
    pub(super) id: String,
}

impl WriteLease {
    fn write(&self, file: &dyn OpenFile, bytes: &[u8]) -> Result<(), StoreError> {
        let count = bytes.len() as u64;
        // Clients resume at the file's size: what a failed write left behind it is overwritten.
        let end = self.end_with_capacity(count)?;
        if let Err(e) = write_all_at(file, bytes, end) {
            // Returns the space. Readers never go beyond the size, so a failure does no harm.
            let _ = retry_on_interrupt(|| file.truncate(end));
            return Err(e.into());
        }
        let mut state = self.store.state();
        state.used_bytes += count;
        if let Some(info) = state.files.get_mut(&self.id) {
            info.bytes += count;
        }
        Ok(())
    }

    /// The end of the file, if this many bytes more are within the limits.
    fn end_with_capacity(&self, count: u64) -> Result<u64, StoreError> {
        let state = self.store.state();
        let limits = &self.store.limits;
        let available = limits.spool_bytes.saturating_sub(state.used_bytes);
        let info = state.files.get(&self.id).ok_or(StoreError::Unknown)?;
        let max_bytes = info.total_bytes.unwrap_or(limits.file_bytes);
        if info.bytes + count > max_bytes {
            return Err(StoreError::TooLarge { max_bytes });
        }
        if count > available {
            return Err(StoreError::Full);
        }
        Ok(info.bytes)
    }
}

impl Drop for WriteLease {
    fn drop(&mut self) {
        if let Some(info) = self.store.state().files.get_mut(&self.id) {
            info.is_leased = false;
        }
    }
}
