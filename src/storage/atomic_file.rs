//! Atomic replacement of a small file: readers find either the old or the new content complete,
//! whichever call of the sequence failed and whenever the process or the machine stopped. Retries
//! belong to [`super::background_writer`].

use std::fmt;
use std::io;
use std::path::{Path, PathBuf};

use thiserror::Error;

use super::FileSystem;
use super::file_system::write_all_at;
use crate::system_call::retry_on_interrupt;

/// A call of the replacement, in their order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteStep {
    /// Creating the temporary file.
    Create,
    /// Writing it.
    Write,
    /// Syncing it.
    Sync,
    /// Renaming it.
    Rename,
    /// Syncing the directory.
    SyncDirectory,
}

impl fmt::Display for WriteStep {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str(match self {
            WriteStep::Create => "create",
            WriteStep::Write => "write",
            WriteStep::Sync => "fsync",
            WriteStep::Rename => "rename",
            WriteStep::SyncDirectory => "fsync of the directory",
        })
    }
}

/// A file wasn't replaced, or not durably.
#[derive(Debug, Error)]
#[error("{}: {step}: {source}", path.display())]
pub struct WriteError {
    /// The file.
    pub path: PathBuf,
    /// The call that failed.
    pub step: WriteStep,
    /// The error of that call.
    pub source: io::Error,
}

/// A file that is replaced in one step, and a copy beside it for when the file can't be read.
#[derive(Clone, Debug)]
pub struct AtomicFile {
    path: PathBuf,
    copy: PathBuf,
    temporary: PathBuf,
}

impl AtomicFile {
    /// The file at this path. The copy's name ends in `.copy`; the temporary file has the process
    /// id as its extension, as several processes may replace the file.
    pub fn new(path: PathBuf) -> AtomicFile {
        let mut copy = path.clone().into_os_string();
        copy.push(".copy");
        let temporary = path.with_extension(std::process::id().to_string());
        AtomicFile {
            path,
            copy: copy.into(),
            temporary,
        }
    }

    /// The file's path.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// The copy's path.
    pub fn copy(&self) -> &Path {
        &self.copy
    }

    /// Replaces the file. The new content is durable once this returns `Ok`.
    pub fn write(&self, file_system: &dyn FileSystem, bytes: &[u8]) -> Result<(), WriteError> {
        self.replace(file_system, &self.path, bytes)
    }

    /// Replaces the copy.
    pub fn write_copy(&self, file_system: &dyn FileSystem, bytes: &[u8]) -> Result<(), WriteError> {
        self.replace(file_system, &self.copy, bytes)
    }

    /// Replaces a file, and removes the temporary one after a failure.
    fn replace(
        &self,
        file_system: &dyn FileSystem,
        path: &Path,
        bytes: &[u8],
    ) -> Result<(), WriteError> {
        let replaced = self.run_steps(file_system, path, bytes);
        if replaced.is_err() {
            // frees its space as well, which a full disk needs for the retry; a failure here is
            // followed by a retry of the whole sequence
            let _ = retry_on_interrupt(|| file_system.remove(&self.temporary));
        }
        replaced
    }

    fn run_steps(
        &self,
        file_system: &dyn FileSystem,
        path: &Path,
        bytes: &[u8],
    ) -> Result<(), WriteError> {
        let failed_at = |step: WriteStep| {
            move |source: io::Error| WriteError {
                path: path.to_path_buf(),
                step,
                source,
            }
        };
        let file = retry_on_interrupt(|| file_system.create(&self.temporary))
            .map_err(failed_at(WriteStep::Create))?;
        write_all_at(&*file, bytes, 0).map_err(failed_at(WriteStep::Write))?;
        retry_on_interrupt(|| file.sync()).map_err(failed_at(WriteStep::Sync))?;
        retry_on_interrupt(|| file_system.rename(&self.temporary, path))
            .map_err(failed_at(WriteStep::Rename))?;
        let directory = path.parent().unwrap_or(Path::new("."));
        retry_on_interrupt(|| file_system.sync_directory(directory))
            .map_err(failed_at(WriteStep::SyncDirectory))
    }
}

#[cfg(test)]
mod tests;
