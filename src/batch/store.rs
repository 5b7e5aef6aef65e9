//! The file store: files stream to the spool and from it; only their names and sizes are held in
//! memory. What it holds ends with the program.

mod appender;
mod error;
mod file_info;

use std::collections::BTreeMap;
use std::hash::{BuildHasher, RandomState};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};

use tokio::fs::File;
use tokio::task::spawn_blocking;

use crate::edge::Caller;
use crate::storage::file_system::retry_on_interrupt;
use crate::storage::{Disk, FileSystem, OpenFile};

use appender::Lease;

pub use appender::Appender;
pub use error::StoreError;
pub use file_info::FileInfo;

/// Seconds of Unix time.
pub fn unix() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_secs()
}

/// The store's limits.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Bytes of one file.
    pub file: u64,
    /// Bytes of all files.
    pub spool: u64,
    /// Files.
    pub files: usize,
}

#[derive(Default)]
struct State {
    files: BTreeMap<String, FileInfo>,
    bytes: u64,
    last: u64,
}

/// The store; copies share it.
#[derive(Clone)]
pub struct Store {
    dir: PathBuf,
    /// What files are created and written by; they are read past it.
    writes: Arc<dyn FileSystem>,
    limits: Limits,
    random: RandomState,
    state: Arc<Mutex<State>>,
}

impl Store {
    /// Opens a store in a folder. Files that an earlier program left there are removed: nobody
    /// knows them now.
    pub fn open(dir: &Path, limits: Limits) -> std::io::Result<Store> {
        Store::open_on(dir, limits, Arc::new(Disk))
    }

    /// The same, with files written by way of this file system.
    pub(super) fn open_on(
        dir: &Path,
        limits: Limits,
        writes: Arc<dyn FileSystem>,
    ) -> std::io::Result<Store> {
        std::fs::create_dir_all(dir)?;
        for left in std::fs::read_dir(dir)? {
            let path = left?.path();
            if path.extension().is_some_and(|e| e == "spool") {
                std::fs::remove_file(path)?;
            }
        }
        Ok(Store {
            dir: dir.to_path_buf(),
            writes,
            limits,
            random: RandomState::new(),
            state: Arc::default(),
        })
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A fresh id that can't be guessed.
    pub fn fresh_id(&self, kind: &str) -> String {
        let mut state = self.state();
        state.last += 1;
        format!(
            "{kind}{:016x}{:08x}",
            self.random.hash_one((state.last, kind)),
            state.last
        )
    }

    fn path(&self, id: &str) -> PathBuf {
        self.dir.join(format!("{id}.spool"))
    }

    /// The limit of one file.
    pub fn most(&self) -> u64 {
        self.limits.file
    }

    /// Creates an empty file.
    pub async fn create(
        &self,
        name: &str,
        purpose: &str,
        total: Option<u64>,
        owner: &Caller,
    ) -> Result<FileInfo, StoreError> {
        if total.is_some_and(|t| t > self.limits.file) {
            return Err(StoreError::TooLarge(self.limits.file));
        }
        let id = self.fresh_id("file-");
        let info = {
            let mut state = self.state();
            if state.files.len() >= self.limits.files || state.bytes >= self.limits.spool {
                return Err(StoreError::Full);
            }
            let info = FileInfo {
                id: id.clone(),
                number: state.last,
                name: name.chars().filter(|c| !c.is_control()).take(255).collect(),
                purpose: purpose.to_string(),
                bytes: 0,
                total,
                ready: false,
                created: unix(),
                owner: owner.clone(),
                busy: false,
            };
            state.files.insert(id.clone(), info.clone());
            info
        };
        if let Err(e) = self
            .open_for_writing(&id, |files, path| files.create(path))
            .await
        {
            self.state().files.remove(&id);
            return Err(e);
        }
        Ok(info)
    }

    /// What is known of a file.
    pub fn info(&self, id: &str) -> Result<FileInfo, StoreError> {
        self.state()
            .files
            .get(id)
            .cloned()
            .ok_or(StoreError::Unknown)
    }

    /// All files, the latest first.
    pub fn list(&self) -> Vec<FileInfo> {
        let mut all: Vec<FileInfo> = self.state().files.values().cloned().collect();
        all.sort_by_key(|f| std::cmp::Reverse(f.number));
        all
    }

    /// Goes on writing a file at its end, which must be `offset`.
    pub async fn append(&self, id: &str, offset: u64) -> Result<Appender, StoreError> {
        {
            let mut state = self.state();
            let info = state.files.get_mut(id).ok_or(StoreError::Unknown)?;
            if info.busy {
                return Err(StoreError::Busy);
            }
            if info.ready || info.bytes != offset {
                return Err(StoreError::Offset(info.bytes));
            }
            info.busy = true;
        }
        let lease = Arc::new(Lease {
            store: self.clone(),
            id: id.to_string(),
        });
        let file = self
            .open_for_writing(id, |files, path| files.open(path))
            .await?;
        Ok(Appender { lease, file })
    }

    async fn open_for_writing(
        &self,
        id: &str,
        open: impl Fn(&dyn FileSystem, &Path) -> std::io::Result<Arc<dyn OpenFile>> + Send + 'static,
    ) -> Result<Arc<dyn OpenFile>, StoreError> {
        let (writes, path) = (self.writes.clone(), self.path(id));
        let opened = spawn_blocking(move || retry_on_interrupt(|| open(&*writes, &path)));
        Ok(opened.await.map_err(std::io::Error::other)??)
    }

    /// Opens a whole file for reading. Its content is the first bytes, as many as its size: what a
    /// failed write left may lie behind them.
    pub async fn read(&self, id: &str) -> Result<(File, FileInfo), StoreError> {
        let info = self.info(id)?;
        if !info.ready {
            return Err(StoreError::Unfinished);
        }
        Ok((File::open(self.path(id)).await?, info))
    }

    /// Removes a file. Who is reading it can go on.
    pub async fn remove(&self, id: &str) -> Result<(), StoreError> {
        {
            let mut state = self.state();
            if state.files.get(id).ok_or(StoreError::Unknown)?.busy {
                return Err(StoreError::Busy);
            }
            if let Some(info) = state.files.remove(id) {
                state.bytes -= info.bytes;
            }
        }
        tokio::fs::remove_file(self.path(id)).await?;
        Ok(())
    }
}

#[cfg(test)]
mod tests;
