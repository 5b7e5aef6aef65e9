//! Files that are being created. A file whose creation does not succeed leaves nothing behind, even
//! if the future that creates it is dropped.

use std::sync::Arc;

use super::appender::WriteLease;
use super::{Appender, FileInfo, Store, StoreError};

/// The place of a file in the store and the exclusive right to write it. When dropped, the file is
/// discarded, unless it was finished or kept.
pub struct FileReservation {
    store: Store,
    info: FileInfo,
    lease: Arc<WriteLease>,
    is_kept: bool,
}

impl FileReservation {
    /// The reservation of a file that has been added to the store's table with a writer.
    pub(super) fn new(store: Store, info: FileInfo) -> FileReservation {
        FileReservation {
            lease: store.lease(&info.id),
            store,
            info,
            is_kept: false,
        }
    }

    /// Creates the file in the spool, and returns its writer. Can be called again after an error.
    pub async fn create(&self) -> Result<Appender, StoreError> {
        let table = self.store.table.clone();
        let id = self.info.id.clone();
        let file = self
            .store
            .open_for_writing(&self.info.id, move |file_system, path| {
                let file = file_system.create(path)?;
                if table.info(&id).is_err() {
                    // the reservation was dropped in the meantime
                    let _ = std::fs::remove_file(path);
                }
                Ok(file)
            })
            .await?;
        Ok(Appender {
            lease: self.lease.clone(),
            file,
        })
    }

    /// Marks the file as complete.
    pub fn finish(mut self) -> Result<FileInfo, StoreError> {
        self.info = self.store.table.complete(&self.info.id)?;
        Ok(self.keep())
    }

    /// Keeps the file as it is, so that other writers can append to it.
    pub fn keep(mut self) -> FileInfo {
        self.is_kept = true;
        self.info.clone()
    }
}

impl Drop for FileReservation {
    fn drop(&mut self) {
        if self.is_kept {
            return;
        }
        self.store.table.discard(&self.info.id);
        self.store.remove_in_background(&self.info.id);
    }
}
