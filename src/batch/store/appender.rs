//! Appends to a stored file.

use std::io;
use std::sync::Arc;

use super::error::StoreError;
use super::file_info::FileInfo;
use super::table::FileTable;
use crate::storage::OpenFile;
use crate::storage::file_system::write_all_at;
use crate::system_call::retry_on_interrupt;

/// The only writer of a file.
pub struct Appender {
    pub(super) lease: Arc<WriteLease>,
    pub(super) file: Arc<dyn OpenFile>,
}

impl Appender {
    /// Appends the bytes. If the write fails, none of them are part of the content. The write
    /// completes even if the client disconnects and this future is dropped.
    pub async fn write(&mut self, bytes: &[u8]) -> Result<(), StoreError> {
        let (lease, file, bytes) = (self.lease.clone(), self.file.clone(), bytes.to_vec());
        let write = move || lease.write(&*file, &bytes);
        tokio::task::spawn_blocking(write)
            .await
            .unwrap_or_else(|e| Err(io::Error::other(e).into()))
    }

    /// Marks the file as complete.
    pub fn finish(self) -> Result<FileInfo, StoreError> {
        self.lease.table.complete(&self.lease.id)
    }
}

/// The exclusive right to write a file. A write in progress keeps it, because the write continues
/// even if its caller has been cancelled; the next writer is refused until the write has ended.
pub(super) struct WriteLease {
    pub(super) table: Arc<FileTable>,
    pub(super) id: String,
}

impl WriteLease {
    fn write(&self, file: &dyn OpenFile, bytes: &[u8]) -> Result<(), StoreError> {
        let count = bytes.len() as u64;
        // Clients resume at the recorded size, so bytes that a failed write left after it are
        // overwritten.
        let end = self.table.end_with_capacity(&self.id, count)?;
        if let Err(e) = write_all_at(file, bytes, end) {
            // Frees the space. Readers stop at the recorded size, so a failure here is harmless.
            let _ = retry_on_interrupt(|| file.truncate(end));
            return Err(e.into());
        }
        self.table.add_bytes(&self.id, count);
        Ok(())
    }
}

impl Drop for WriteLease {
    fn drop(&mut self) {
        self.table.end_lease(&self.id);
    }
}
