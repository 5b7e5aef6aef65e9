//! Loads the maintenance state from its file when a process starts.
//!
//! Retries failed reads, falls back to the copy if the file can't be used, and removes the
//! temporary files of killed processes. `lifecycle` writes the file.

use std::io::{self, ErrorKind};
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;
use tracing::{error, warn};

use crate::backoff::Backoff;
use crate::ops::maintenance_state::{MaintenanceState, ParseError};
use crate::storage::{AtomicFile, BackgroundReader, FileSystem};

/// Maximum number of attempts to read a file, about half a second in total. The reads are retried
/// because a router without its exclusions sends requests to model servers in maintenance. The time
/// is limited because the router serves no clients until it has started.
const READ_ATTEMPTS: usize = 8;
/// Initial delay between attempts.
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(10);
/// Maximum delay between attempts.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Maximum duration of a read. The process serves no clients while it waits for the read.
const READ_TIMEOUT: Duration = Duration::from_secs(2);
/// The folder that contains an entry for each running process, named after the process id.
const PROCESS_FOLDER: &str = "/proc";

/// Why the maintenance state can't be loaded from a file.
#[derive(Debug, thiserror::Error)]
enum LoadError {
    /// The file can't be read.
    #[error(transparent)]
    Unreadable(#[from] io::Error),
    /// The file was read, but is damaged or has another version.
    #[error(transparent)]
    Unusable(#[from] ParseError),
}

/// Loads the maintenance state from the file, or from its copy if the file can't be used.
///
/// `None` if there is no file, or if neither the file nor its copy can be used.
pub(super) async fn load(
    file: &AtomicFile,
    file_system: Arc<dyn FileSystem>,
) -> Option<MaintenanceState> {
    let file_error = match read(file.path(), &file_system).await {
        Ok(maintenance) => return maintenance,
        Err(error) => error,
    };
    let path = file.path().display();
    match read(file.copy(), &file_system).await {
        Ok(Some(maintenance)) => {
            error!(
                "{path}: {file_error}; starting with the exclusions and drain state of its copy, \
                 which may be older"
            );
            Some(maintenance)
        }
        Ok(None) => {
            error!(
                "{path}: {file_error}; there is no copy; starting without exclusions or drain state"
            );
            None
        }
        Err(copy_error) => {
            error!(
                "{path}: {file_error}; the copy can't be used either: {copy_error}; starting \
                 without exclusions or drain state"
            );
            None
        }
    }
}

/// Reads one file, with retries. `None` if the file doesn't exist.
async fn read(
    path: &Path,
    file_system: &Arc<dyn FileSystem>,
) -> Result<Option<MaintenanceState>, LoadError> {
    let mut backoff = Backoff::new(FIRST_RETRY_DELAY, MAX_RETRY_DELAY);
    let mut attempts = 1;
    loop {
        match read_once(path, file_system).await {
            Ok(text) => return Ok(Some(MaintenanceState::parse(&text)?)),
            Err(error) if error.kind() == ErrorKind::NotFound => return Ok(None),
            // a read that timed out is expected to time out again
            Err(error) if attempts == READ_ATTEMPTS || error.kind() == ErrorKind::TimedOut => {
                return Err(error.into());
            }
            Err(_) => attempts += 1,
        }
        sleep(backoff.next_delay()).await;
    }
}

async fn read_once(path: &Path, file_system: &Arc<dyn FileSystem>) -> io::Result<Vec<u8>> {
    let (path, file_system) = (path.to_path_buf(), file_system.clone());
    BackgroundReader::default()
        .read(READ_TIMEOUT, move || file_system.read(&path))
        .await
        .unwrap_or_else(|abandoned| Err(io::Error::new(ErrorKind::TimedOut, abandoned)))
}

/// Removes the temporary files of processes that were killed while they were writing.
///
/// These are the files named after the id of a process that is no longer running, or after the id
/// of this process, which hasn't written any file yet.
pub(super) fn remove_stale_temporary_files(file: &AtomicFile) {
    let Some(folder) = file.path().parent() else {
        return;
    };
    let Ok(entries) = std::fs::read_dir(folder) else {
        return;
    };
    for path in entries.flatten().map(|entry| entry.path()) {
        if is_stale_temporary_file(file, &path)
            && let Err(error) = std::fs::remove_file(&path)
        {
            warn!(
                "{}: the stale temporary file can't be removed: {error}",
                path.display()
            );
        }
    }
}

/// Whether a path is that of a temporary file whose process no longer writes it.
fn is_stale_temporary_file(file: &AtomicFile, path: &Path) -> bool {
    let process_id = path
        .extension()
        .and_then(|extension| extension.to_str())
        .and_then(|extension| extension.parse::<u32>().ok());
    let Some(process_id) = process_id else {
        return false;
    };
    let is_temporary = path == file.path().with_extension(process_id.to_string());
    is_temporary && (process_id == std::process::id() || !is_running(process_id))
}

fn is_running(process_id: u32) -> bool {
    Path::new(PROCESS_FOLDER)
        .join(process_id.to_string())
        .exists()
}

#[cfg(test)]
mod tests;
