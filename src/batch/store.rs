//! The file store: content is streamed to the spool and from it, and only the files' descriptions
//! are held in memory. Nothing outlives the process.

mod appender;
mod error;
mod file_info;

use std::collections::BTreeMap;
use std::hash::{BuildHasher, RandomState};
use std::io;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};

use tokio::fs::File;
use tokio::task::spawn_blocking;

use crate::storage::file_system::retry_on_interrupt;
use crate::storage::{Disk, FileSystem, OpenFile};

use appender::WriteLease;

pub use appender::Appender;
pub use error::StoreError;
pub use file_info::{FileInfo, NewFile, StoredFile};

/// The extension of the files in the spool.
const FILE_EXTENSION: &str = "spool";
/// The longest file name that is remembered, in characters.
const MAX_NAME_CHARS: usize = 255;

/// The wall clock, in seconds of Unix time.
pub fn unix_seconds() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_secs()
}

/// The limits of a store.
#[derive(Clone, Copy, Debug)]
pub struct StoreLimits {
    /// The most bytes of one file.
    pub file_bytes: u64,
    /// The most bytes of all files.
    pub spool_bytes: u64,
    /// The most files.
    pub files: usize,
}

#[derive(Default)]
struct State {
    files: BTreeMap<String, FileInfo>,
    /// Bytes of all files.
    used_bytes: u64,
    /// The number of the latest id.
    last_number: u64,
}

/// The store; clones share it.
#[derive(Clone)]
pub struct Store {
    dir: PathBuf,
    /// Creates and writes files; they are read without it.
    file_system: Arc<dyn FileSystem>,
    limits: StoreLimits,
    id_hasher: RandomState,
    state: Arc<Mutex<State>>,
}

impl Store {
    /// Opens a store in a folder. Files that an earlier process left there are deleted, as nobody
    /// knows their ids any more.
    pub fn open(dir: &Path, limits: StoreLimits) -> io::Result<Store> {
        Store::open_on(dir, limits, Arc::new(Disk))
    }

    /// Opens a store whose files are written by this file system.
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
            limits,
            id_hasher: RandomState::new(),
            state: Arc::default(),
        })
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A new id with this prefix, which can't be guessed.
    pub fn fresh_id(&self, prefix: &str) -> String {
        let mut state = self.state();
        state.last_number += 1;
        let number = state.last_number;
        let hash = self.id_hasher.hash_one((number, prefix));
        format!("{prefix}{hash:016x}{number:08x}")
    }

    fn path(&self, id: &str) -> PathBuf {
        self.dir.join(format!("{id}.{FILE_EXTENSION}"))
    }

    /// The most bytes of one file.
    pub fn max_file_bytes(&self) -> u64 {
        self.limits.file_bytes
    }

    /// Creates an empty file.
    pub async fn create(&self, new: NewFile<'_>) -> Result<FileInfo, StoreError> {
        let max_bytes = self.limits.file_bytes;
        if new.total_bytes.is_some_and(|total| total > max_bytes) {
            return Err(StoreError::TooLarge { max_bytes });
        }
        let info = self.reserve(self.fresh_id("file-"), new)?;
        let created = self
            .open_for_writing(&info.id, |file_system, path| file_system.create(path))
            .await;
        if let Err(e) = created {
            self.state().files.remove(&info.id);
            return Err(e);
        }
        Ok(info)
    }

    /// Adds a file to the table, within the limits.
    fn reserve(&self, id: String, new: NewFile<'_>) -> Result<FileInfo, StoreError> {
        let mut state = self.state();
        let has_capacity =
            state.files.len() < self.limits.files && state.used_bytes < self.limits.spool_bytes;
        if !has_capacity {
            return Err(StoreError::Full);
        }
        let name = new.name.chars().filter(|c| !c.is_control());
        let info = FileInfo {
            id: id.clone(),
            number: state.last_number,
            name: name.take(MAX_NAME_CHARS).collect(),
            purpose: new.purpose.to_string(),
            bytes: 0,
            total_bytes: new.total_bytes,
            is_complete: false,
            created_at: unix_seconds(),
            owner: new.owner.clone(),
            is_leased: false,
        };
        state.files.insert(id, info.clone());
        Ok(info)
    }

    /// The description of a file.
    pub fn info(&self, id: &str) -> Result<FileInfo, StoreError> {
        let state = self.state();
        state.files.get(id).cloned().ok_or(StoreError::Unknown)
    }

    /// The descriptions of all files, the latest first.
    pub fn list(&self) -> Vec<FileInfo> {
        let mut files: Vec<FileInfo> = self.state().files.values().cloned().collect();
        files.sort_by_key(|file| std::cmp::Reverse(file.number));
        files
    }

    /// Opens a file to append to it. The offset must be its end.
    pub async fn append(&self, id: &str, offset: u64) -> Result<Appender, StoreError> {
        {
            let mut state = self.state();
            let info = state.files.get_mut(id).ok_or(StoreError::Unknown)?;
            if info.is_leased {
                return Err(StoreError::Busy);
            }
            if info.is_complete || info.bytes != offset {
                return Err(StoreError::WrongOffset { end: info.bytes });
            }
            info.is_leased = true;
        }
        let lease = Arc::new(WriteLease {
            store: self.clone(),
            id: id.to_string(),
        });
        let file = self
            .open_for_writing(id, |file_system, path| file_system.open(path))
            .await?;
        Ok(Appender { lease, file })
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

    /// Deletes a file. Those who are reading it can go on.
    pub async fn remove(&self, id: &str) -> Result<(), StoreError> {
        {
            let mut state = self.state();
            if state.files.get(id).ok_or(StoreError::Unknown)?.is_leased {
                return Err(StoreError::Busy);
            }
            if let Some(info) = state.files.remove(id) {
                state.used_bytes -= info.bytes;
            }
        }
        tokio::fs::remove_file(self.path(id)).await?;
        Ok(())
    }
}

#[cfg(test)]
mod tests;
