//! Reads the file of the maintenance state at a process's start: retries, the copy where the file
//! is damaged, and the removal of temporary files of killed processes. `lifecycle` writes the file.

use std::io::{self, ErrorKind};
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;
use tracing::{error, warn};

use crate::backoff::Backoff;
use crate::ops::maintenance_state::{MaintenanceState, ParseError};
use crate::storage::{AtomicFile, BackgroundReader, FileSystem};

/// Attempts to read a file, about half a second in all. A router without its exclusions sends
/// requests to model servers in maintenance; one that starts later than that serves nobody.
const READ_ATTEMPTS: usize = 8;
/// The first wait before another attempt.
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(10);
/// The longest such wait.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(100);
/// How long a read may take: longer, and the process would serve nobody for its sake.
const READ_TIMEOUT: Duration = Duration::from_secs(2);
/// A folder with an entry for each running process, named by its id.
const PROCESS_FOLDER: &str = "/proc";

/// Why a file gives no maintenance state.
#[derive(Debug, thiserror::Error)]
enum LoadError {
    /// The file can't be read.
    #[error(transparent)]
    Unreadable(#[from] io::Error),
    /// The file can be read, and is damaged or of another version.
    #[error(transparent)]
    Unusable(#[from] ParseError),
}

/// The maintenance state in the file; the default where there is no file, or neither it nor its copy
/// can be read.
pub(super) async fn load(file: &AtomicFile, file_system: Arc<dyn FileSystem>) -> MaintenanceState {
    let damaged = match read(file.path(), &file_system).await {
        Ok(maintenance) => return maintenance.unwrap_or_default(),
        Err(error) => error,
    };
    let path = file.path().display();
    match read(file.copy(), &file_system).await {
        Ok(Some(maintenance)) => {
            error!(
                "{path}: {damaged}; starting with the exclusions and drain of its copy, which may be \
                 older"
            );
            maintenance
        }
        Ok(None) => {
            error!("{path}: {damaged}; there is no copy: starting without exclusions or drain");
            MaintenanceState::default()
        }
        Err(error) => {
            error!("{path}: {damaged}; its copy: {error}; starting without exclusions or drain");
            MaintenanceState::default()
        }
    }
}

/// Reads one file; `None` where there is none.
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
            // one that hangs does so again
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

/// Removes the temporary files of processes that were killed while they wrote: those named after a
/// process that doesn't run, or after this one, which has written nothing yet.
pub(super) fn remove_leftovers(file: &AtomicFile) {
    let Some(folder) = file.path().parent() else {
        return;
    };
    let Ok(entries) = std::fs::read_dir(folder) else {
        return;
    };
    for path in entries.flatten().map(|entry| entry.path()) {
        if is_leftover(file, &path)
            && let Err(error) = std::fs::remove_file(&path)
        {
            warn!("{}: {error}", path.display());
        }
    }
}

/// Whether a path is that of a temporary file whose process doesn't write it any more.
fn is_leftover(file: &AtomicFile, path: &Path) -> bool {
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
