//! The file store. File content is streamed to and from the spool, a folder on disk; only the
//! descriptions of files are kept in memory. Files are not kept beyond the lifetime of the process.

mod appender;
mod error;
mod file_info;
mod reservation;
mod table;

use std::io;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Instant;

use tokio::fs::File;
use tokio::runtime::Handle;
use tokio::task::spawn_blocking;
use tracing::info;

use crate::storage::{Disk, FileSystem, OpenFile};
use crate::system_call::retry_on_interrupt;

use appender::WriteLease;
use table::FileTable;

pub use appender::Appender;
pub use error::StoreError;
pub use file_info::{FileInfo, FileSize, NewFile, StoredFile};
pub use reservation::FileReservation;
pub use table::StoreLimits;

/// The file name extension of the files in the spool.
const FILE_EXTENSION: &str = "spool";

/// The store. Clones share its files.
#[derive(Clone)]
pub struct Store {
    dir: PathBuf,
    /// The file system used to create and write files. Files are read through `tokio::fs` instead.
    file_system: Arc<dyn FileSystem>,
    table: Arc<FileTable>,
}

impl Store {
    /// Opens a store in a folder. Files that an earlier process left there are deleted, as their
    /// ids are no longer known.
    pub fn open(dir: &Path, limits: StoreLimits) -> io::Result<Store> {
        Store::open_on(dir, limits, Arc::new(Disk))
    }

    /// Opens a store that writes its files through `file_system`.
    pub(super) fn open_on(
        dir: &Path,
        limits: StoreLimits,
        file_system: Arc<dyn FileSystem>,
    ) -> io::Result<Store> {
        std::fs::create_dir_all(dir)?;
        for entry in std::fs::read_dir(dir)? {
            let path = entry?.path();
            if path.extension().is_some_and(|e| e == FILE_EXTENSION) {
                std::fs::remove_file(path)?;
            }
        }
        Ok(Store {
            dir: dir.to_path_buf(),
            file_system,
            table: Arc::new(FileTable::new(limits)),
        })
    }

    /// Returns a new id with this prefix. The id can't be guessed.
    pub fn fresh_id(&self, prefix: &str) -> String {
        self.table.fresh_id(prefix)
    }

    fn path(&self, id: &str) -> PathBuf {
        self.dir.join(format!("{id}.{FILE_EXTENSION}"))
    }

    /// The maximum size of an uploaded file, in bytes.
    pub fn max_file_bytes(&self) -> u64 {
        self.table.limits.file_bytes
    }

    /// Reserves the place of a file, if the limits allow it, without waiting for the spool. If the
    /// store is full, uploads that have probably been given up are deleted.
    pub fn reserve(&self, new: NewFile<'_>) -> Result<FileReservation, StoreError> {
        self.reserve_at(new, Instant::now())
    }

    fn reserve_at(&self, new: NewFile<'_>, now: Instant) -> Result<FileReservation, StoreError> {
        let info = match self.table.add(new) {
            Err(StoreError::Full) => {
                self.remove_abandoned(now);
                self.table.add(new)?
            }
            added => added?,
        };
        Ok(FileReservation::new(self.clone(), info))
    }

    fn remove_abandoned(&self, now: Instant) {
        for id in self.table.remove_abandoned(now) {
            info!("{id}: deleting an incomplete upload that nobody has continued");
            self.remove_in_background(&id);
        }
    }

    /// Removes a file from the spool without waiting. A file that does not exist, or that can't be
    /// removed, uses no place in the table.
    fn remove_in_background(&self, id: &str) {
        let path = self.path(id);
        let remove = move || drop(std::fs::remove_file(path));
        match Handle::try_current() {
            Ok(runtime) => drop(runtime.spawn_blocking(remove)),
            Err(_) => remove(),
        }
    }

    /// Creates an empty file.
    pub async fn create(&self, new: NewFile<'_>) -> Result<FileInfo, StoreError> {
        let reservation = self.reserve(new)?;
        reservation.create().await?;
        Ok(reservation.keep())
    }

    /// The description of a file.
    pub fn info(&self, id: &str) -> Result<FileInfo, StoreError> {
        self.table.info(id)
    }

    /// The descriptions of all files, newest first.
    pub fn list(&self) -> Vec<FileInfo> {
        self.table.list()
    }

    /// Opens a file for appending. `offset` must be the current end of the file.
    pub async fn append(&self, id: &str, offset: u64) -> Result<Appender, StoreError> {
        self.table.lease(id, offset)?;
        let lease = self.lease(id);
        let file = self
            .open_for_writing(id, |file_system, path| file_system.open(path))
            .await?;
        Ok(Appender { lease, file })
    }

    /// The lease of a file that the table has marked as having a writer.
    fn lease(&self, id: &str) -> Arc<WriteLease> {
        Arc::new(WriteLease {
            table: self.table.clone(),
            id: id.to_string(),
        })
    }

    async fn open_for_writing(
        &self,
        id: &str,
        open: impl Fn(&dyn FileSystem, &Path) -> io::Result<Arc<dyn OpenFile>> + Send + 'static,
    ) -> Result<Arc<dyn OpenFile>, StoreError> {
        let (file_system, path) = (self.file_system.clone(), self.path(id));
        let opened = spawn_blocking(move || retry_on_interrupt(|| open(&*file_system, &path)));
        Ok(opened.await.map_err(io::Error::other)??)
    }

    /// Opens a complete file for reading.
    pub async fn read(&self, id: &str) -> Result<StoredFile, StoreError> {
        let info = self.info(id)?;
        if !info.is_complete {
            return Err(StoreError::Incomplete);
        }
        let file = File::open(self.path(id)).await?;
        Ok(StoredFile { file, info })
    }

    /// Deletes a file. Readers that have already opened it can finish reading.
    pub async fn remove(&self, id: &str) -> Result<(), StoreError> {
        self.table.remove(id)?;
        tokio::fs::remove_file(self.path(id)).await?;
        Ok(())
    }
}

#[cfg(test)]
mod tests;
