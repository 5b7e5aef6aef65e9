//! Atomic replacement of a small file: readers find either the complete old content or the complete
//! new content, whichever call of the sequence fails and whenever the process or the machine stops.
//! [`super::background_writer`] retries failed replacements.

use std::fmt;
use std::io;
use std::path::{Path, PathBuf};

use thiserror::Error;

use super::FileSystem;
use super::file_system::write_all_at;
use crate::system_call::retry_on_interrupt;

/// A call of the replacement sequence, in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteStep {
    /// Creates the temporary file.
    Create,
    /// Writes the temporary file.
    Write,
    /// Syncs the temporary file.
    Sync,
    /// Renames the temporary file to the file's name.
    Rename,
    /// Syncs the directory.
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

/// The file wasn't replaced, or the replacement isn't durable.
#[derive(Debug, Error)]
#[error("{}: {step}: {source}", path.display())]
pub struct WriteError {
    /// The path of the file.
    pub path: PathBuf,
    /// The call that failed.
    pub step: WriteStep,
    /// The error of that call.
    pub source: io::Error,
}

/// A file that is replaced atomically, and a copy next to it for when the file can't be read.
#[derive(Clone, Debug)]
pub struct AtomicFile {
    path: PathBuf,
    copy: PathBuf,
    temporary: PathBuf,
}

impl AtomicFile {
    /// The file at this path. The copy's name ends in `.copy`. The temporary file has the process
    /// id as its extension, because several processes may replace the file.
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

    /// Replaces a file. After a failure, removes the temporary file.
    fn replace(
        &self,
        file_system: &dyn FileSystem,
        path: &Path,
        bytes: &[u8],
    ) -> Result<(), WriteError> {
        let replaced = self.run_steps(file_system, path, bytes);
        if replaced.is_err() {
            // This also frees disk space, which the retry needs if the disk is full. A failure here
            // is harmless, because the whole sequence is retried.
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
