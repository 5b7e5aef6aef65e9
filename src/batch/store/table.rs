//! The table of files: their descriptions, their writers, and the space that they use within the
//! limits. This module doesn't access the content of files.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::hash::{BuildHasher, RandomState};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use super::error::StoreError;
use super::file_info::{FileInfo, FileSize, NewFile};
use crate::batch::wall_clock::unix_seconds;

/// The maximum length of a stored file name in characters. Longer names are cut off.
const MAX_NAME_CHARS: usize = 255;

/// The limits of a store.
#[derive(Clone, Copy, Debug)]
pub struct StoreLimits {
    /// The maximum size of one uploaded file in bytes.
    pub file_bytes: u64,
    /// The maximum total size of all files in bytes.
    pub spool_bytes: u64,
    /// The maximum number of files.
    pub files: usize,
}

#[derive(Default)]
struct State {
    files: BTreeMap<String, FileInfo>,
    /// The total size of all files in bytes.
    used_bytes: u64,
    /// The number of the latest id.
    last_number: u64,
}

impl State {
    fn remove(&mut self, id: &str) {
        if let Some(info) = self.files.remove(id) {
            self.used_bytes -= info.bytes;
        }
    }
}

/// The table of files.
pub(super) struct FileTable {
    pub(super) limits: StoreLimits,
    id_hasher: RandomState,
    state: Mutex<State>,
}

impl FileTable {
    pub(super) fn new(limits: StoreLimits) -> FileTable {
        FileTable {
            limits,
            id_hasher: RandomState::new(),
            state: Mutex::default(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns a new id with this prefix. The id can't be guessed.
    pub(super) fn fresh_id(&self, prefix: &str) -> String {
        let mut state = self.lock();
        state.last_number += 1;
        let number = state.last_number;
        let hash = self.id_hasher.hash_one((number, prefix));
        format!("{prefix}{hash:016x}{number:08x}")
    }

    fn max_bytes(&self, size: FileSize) -> Result<u64, StoreError> {
        let max_bytes = self.limits.file_bytes;
        match size {
            FileSize::Announced(bytes) if bytes > max_bytes => {
                Err(StoreError::TooLarge { max_bytes })
            }
            FileSize::Announced(bytes) => Ok(bytes),
            FileSize::Limited => Ok(max_bytes),
            FileSize::Unlimited => Ok(u64::MAX),
        }
    }

    /// Adds an empty file with a writer, if the limits allow it.
    pub(super) fn add(&self, new: NewFile<'_>) -> Result<FileInfo, StoreError> {
        let max_bytes = self.max_bytes(new.size)?;
        let id = self.fresh_id("file-");
        let mut state = self.lock();
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
            total_bytes: new.size.announced(),
            max_bytes,
            is_complete: false,
            created_at: unix_seconds(),
            owner: new.owner.clone(),
            is_leased: true,
            last_active: Instant::now(),
        };
        state.files.insert(id, info.clone());
        Ok(info)
    }

    /// Removes a file even if it has a writer, and frees its space. Further writes fail.
    pub(super) fn discard(&self, id: &str) {
        self.lock().remove(id);
    }

    /// Removes the files whose uploads have probably been given up; returns their ids.
    pub(super) fn remove_abandoned(&self, now: Instant) -> Vec<String> {
        let mut state = self.lock();
        let abandoned = state.files.values().filter(|info| info.is_abandoned(now));
        let ids: Vec<String> = abandoned.map(|info| info.id.clone()).collect();
        for id in &ids {
            state.remove(id);
        }
        ids
    }

    /// Removes a file that has no writer, and frees its space.
    pub(super) fn remove(&self, id: &str) -> Result<(), StoreError> {
        let mut state = self.lock();
        if state.files.get(id).ok_or(StoreError::Unknown)?.is_leased {
            return Err(StoreError::Busy);
        }
        state.remove(id);
        Ok(())
    }

    /// The description of a file.
    pub(super) fn info(&self, id: &str) -> Result<FileInfo, StoreError> {
        let state = self.lock();
        state.files.get(id).cloned().ok_or(StoreError::Unknown)
    }

    /// The descriptions of all files, newest first.
    pub(super) fn list(&self) -> Vec<FileInfo> {
        let mut files: Vec<FileInfo> = self.lock().files.values().cloned().collect();
        files.sort_by_key(|file| Reverse(file.number));
        files
    }

    /// Marks a file as having a writer. `offset` must be the end of the file.
    pub(super) fn lease(&self, id: &str, offset: u64) -> Result<(), StoreError> {
        let mut state = self.lock();
        let info = state.files.get_mut(id).ok_or(StoreError::Unknown)?;
        if info.is_leased {
            return Err(StoreError::Busy);
        }
        if info.is_complete || info.bytes != offset {
            return Err(StoreError::WrongOffset { end: info.bytes });
        }
        info.is_leased = true;
        Ok(())
    }

    /// Marks a file as having no writer.
    pub(super) fn end_lease(&self, id: &str) {
        if let Some(info) = self.lock().files.get_mut(id) {
            info.is_leased = false;
            info.last_active = Instant::now();
        }
    }

    /// Returns the end of a file, if `count` more bytes are within the limits.
    pub(super) fn end_with_capacity(&self, id: &str, count: u64) -> Result<u64, StoreError> {
        let state = self.lock();
        let available = self.limits.spool_bytes.saturating_sub(state.used_bytes);
        let info = state.files.get(id).ok_or(StoreError::Unknown)?;
        if info.bytes + count > info.max_bytes {
            let max_bytes = info.max_bytes;
            return Err(StoreError::TooLarge { max_bytes });
        }
        if count > available {
            return Err(StoreError::Full);
        }
        Ok(info.bytes)
    }

    /// Adds bytes that were written at the end of a file to its size. A file that was discarded
    /// during the write uses no space.
    pub(super) fn add_bytes(&self, id: &str, count: u64) {
        let mut state = self.lock();
        if let Some(info) = state.files.get_mut(id) {
            info.bytes += count;
            state.used_bytes += count;
        }
    }

    /// Marks a file as complete.
    pub(super) fn complete(&self, id: &str) -> Result<FileInfo, StoreError> {
        let mut state = self.lock();
        let info = state.files.get_mut(id).ok_or(StoreError::Unknown)?;
        info.is_complete = true;
        Ok(info.clone())
    }

    /// The total size of all files in bytes.
    #[cfg(test)]
    pub(super) fn used_bytes(&self) -> u64 {
        self.lock().used_bytes
    }
}
