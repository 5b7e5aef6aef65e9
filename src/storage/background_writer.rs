//! Writes the latest state to an [`AtomicFile`] in a separate task. A state that can't be written
//! stays pending; the write is retried with backoff until this state or a later one is on disk. The
//! state is opaque bytes.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

use thiserror::Error;
use tokio::sync::watch;
use tokio::task::{JoinError, spawn_blocking};
use tokio::time::{sleep, timeout};
use tracing::{error, info, warn};

use super::{AtomicFile, FileSystem, WriteError};
use crate::backoff::Backoff;
use crate::log_limit::LogLimit;

/// The delay before the first retry of a write. Callers wait some hundreds of milliseconds, which
/// leaves time for several retries.
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(20);
/// The maximum delay between retries: a recovered disk is noticed within this time.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(2);

/// The sequence number of a submitted state, from 1.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Version(u64);

/// A submitted state.
#[derive(Clone, Default)]
struct Submission {
    version: Version,
    bytes: Arc<[u8]>,
}

/// The progress of the writing task.
#[derive(Default)]
struct Progress {
    /// The latest version on disk.
    written: Version,
    /// The error of the last write; `None` if it succeeded.
    error: Option<Arc<WriteFailure>>,
}

/// Why a write failed.
#[derive(Debug, Error)]
pub enum WriteFailure {
    /// A call of the file system failed.
    #[error(transparent)]
    File(#[from] WriteError),
    /// The writing thread panicked, or the runtime is shutting down.
    #[error(transparent)]
    Thread(#[from] JoinError),
}

/// The state isn't on disk yet. The writer continues to retry.
#[derive(Clone, Debug, Error)]
pub enum NotWritten {
    /// The last write failed.
    #[error("{0}")]
    Failed(#[source] Arc<WriteFailure>),
    /// The last write hasn't failed, but the state wasn't written in time.
    #[error("{}: not written within {within:?}", path.display())]
    TimedOut {
        /// The file.
        path: PathBuf,
        /// How long the caller waited.
        within: Duration,
    },
}

/// Writes the latest state until it is on disk.
pub struct BackgroundWriter {
    path: PathBuf,
    latest: watch::Sender<Submission>,
    progress: watch::Receiver<Progress>,
}

impl BackgroundWriter {
    /// Starts the writing task, which ends when this value is dropped. Nothing is written before
    /// the first submission. Must be called within a Tokio runtime.
    pub fn start(file: AtomicFile, file_system: Arc<dyn FileSystem>) -> BackgroundWriter {
        let path = file.path().to_path_buf();
        let (latest, submitted) = watch::channel(Submission::default());
        let (report, progress) = watch::channel(Progress::default());
        let task = WriterTask {
            file,
            file_system,
            submitted,
            report,
            log: LogLimit::new(),
        };
        tokio::spawn(task.run());
        BackgroundWriter {
            path,
            latest,
            progress,
        }
    }

    /// Submits a state, which replaces any earlier state that isn't written yet.
    pub fn submit(&self, bytes: impl Into<Vec<u8>>) -> Version {
        let bytes = Arc::from(bytes.into());
        let mut version = Version::default();
        self.latest.send_modify(|latest| {
            version = Version(latest.version.0 + 1);
            *latest = Submission { version, bytes };
        });
        version
    }

    /// Waits until a submitted state, or a later one, is on disk.
    pub async fn wait_written(&self, version: Version, within: Duration) -> Result<(), NotWritten> {
        let mut progress = self.progress.clone();
        let written = progress.wait_for(|progress| progress.written >= version);
        if let Ok(Ok(_)) = timeout(within, written).await {
            return Ok(());
        }
        Err(match &self.progress.borrow().error {
            Some(failure) => NotWritten::Failed(failure.clone()),
            None => NotWritten::TimedOut {
                path: self.path.clone(),
                within,
            },
        })
    }
}

/// The writing task.
struct WriterTask {
    file: AtomicFile,
    file_system: Arc<dyn FileSystem>,
    submitted: watch::Receiver<Submission>,
    report: watch::Sender<Progress>,
    log: LogLimit,
}

impl WriterTask {
    async fn run(mut self) {
        while self.submitted.changed().await.is_ok() {
            self.write_with_retries().await;
        }
    }

    /// Writes the latest state and retries until the file and its copy contain it.
    async fn write_with_retries(&mut self) {
        let mut backoff = Backoff::new(FIRST_RETRY_DELAY, MAX_RETRY_DELAY);
        let mut has_failed = false;
        while let Err(failure) = self.write_latest().await {
            has_failed = true;
            if let Some(omitted) = self.log.admit(Instant::now()) {
                error!("{failure}; retrying{omitted}");
            }
            tokio::select! {
                () = sleep(backoff.next_delay()) => {}
                // a new state is written without waiting for the delay
                submitted = self.submitted.changed() => if submitted.is_err() {
                    return warn!("{}: state not written at shutdown", self.file.path().display());
                },
            }
        }
        if has_failed {
            info!("{}: written after retries", self.file.path().display());
        }
    }

    async fn write_latest(&mut self) -> Result<(), Arc<WriteFailure>> {
        let latest = self.submitted.borrow_and_update().clone();
        if self.report.borrow().written < latest.version {
            let written = self.write_blocking(&latest, AtomicFile::write).await;
            self.report.send_modify(|progress| {
                if written.is_ok() {
                    progress.written = latest.version;
                }
                progress.error = written.as_ref().err().cloned();
            });
            written?;
        }
        self.write_blocking(&latest, AtomicFile::write_copy).await
    }

    /// Writes on a thread for blocking calls, because a sync may take seconds and must not delay
    /// requests.
    async fn write_blocking(
        &self,
        submission: &Submission,
        write: fn(&AtomicFile, &dyn FileSystem, &[u8]) -> Result<(), WriteError>,
    ) -> Result<(), Arc<WriteFailure>> {
        let (file, file_system) = (self.file.clone(), self.file_system.clone());
        let bytes = submission.bytes.clone();
        let written = spawn_blocking(move || write(&file, &*file_system, &bytes)).await;
        written
            .map_err(WriteFailure::from)
            .and_then(|written| written.map_err(WriteFailure::from))
            .map_err(Arc::new)
    }
}

#[cfg(test)]
mod tests;
