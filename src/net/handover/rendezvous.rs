//! The folder of a router, where its processes find each other. Owns the names of the socket and of
//! the file of the maintenance state; the file is written by `lifecycle`.

use std::fs::File;
use std::os::fd::AsRawFd;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::net::UnixListener;
use tokio::time::sleep;
use tracing::warn;

use super::maintenance_file;
use crate::backoff::Backoff;
use crate::log_limit::LogLimit;
use crate::ops::maintenance_state::MaintenanceState;
use crate::storage::{AtomicFile, Disk};

/// The first wait before the socket is bound again.
const FIRST_BIND_DELAY: Duration = Duration::from_millis(5);
/// The longest such wait.
const MAX_BIND_DELAY: Duration = Duration::from_secs(2);
/// The longest folder path for which a socket's path, with a file name of up to 40 bytes, stays
/// within the 108 bytes that Linux allows.
const MAX_FOLDER_PATH_BYTES: usize = 64;

/// The router's folder, where its processes find each other.
pub struct Rendezvous {
    folder: PathBuf,
    /// The open folder, where `folder` goes through its descriptor.
    _descriptor: Option<File>,
}

impl Rendezvous {
    /// The rendezvous in this folder. A long path is replaced by one through an open descriptor, as
    /// a socket's path has to be short.
    pub fn new(folder: &Path) -> std::io::Result<Rendezvous> {
        if folder.as_os_str().len() <= MAX_FOLDER_PATH_BYTES {
            return Ok(Rendezvous {
                folder: folder.to_path_buf(),
                _descriptor: None,
            });
        }
        let descriptor = File::open(folder)?;
        Ok(Rendezvous {
            folder: format!("/proc/self/fd/{}", descriptor.as_raw_fd()).into(),
            _descriptor: Some(descriptor),
        })
    }

    /// The file of the maintenance state.
    pub fn maintenance_file(&self) -> PathBuf {
        self.folder.join("stilespan.orders")
    }

    /// The socket on which the router's running process accepts a successor.
    pub(super) fn socket_path(&self) -> PathBuf {
        self.folder.join("stilespan.sock")
    }

    /// The maintenance state in the file; the default where there is no file, or none that can be
    /// read.
    pub async fn load_maintenance(&self) -> MaintenanceState {
        let file = AtomicFile::new(self.maintenance_file());
        maintenance_file::remove_leftovers(&file);
        maintenance_file::load(&file, Arc::new(Disk)).await
    }

    /// Binds the socket, retrying until that succeeds: processes that start from now on connect to
    /// this one.
    pub(super) async fn bind_socket(&self) -> UnixListener {
        let mut backoff = Backoff::new(FIRST_BIND_DELAY, MAX_BIND_DELAY);
        let log = LogLimit::new();
        loop {
            let error = match self.try_bind() {
                Ok(listener) => return listener,
                Err(error) => error,
            };
            if let Some(omitted) = log.admit(Instant::now()) {
                warn!(
                    "{}: {error}; no successor can connect until this works{omitted}",
                    self.socket_path().display()
                );
            }
            sleep(backoff.next_delay()).await;
        }
    }

    /// Binds a name of this process's own and renames it, which replaces a predecessor's socket in
    /// one step.
    fn try_bind(&self) -> std::io::Result<UnixListener> {
        let own_path = self
            .folder
            .join(format!("stilespan.{}.sock", std::process::id()));
        let _ = std::fs::remove_file(&own_path);
        let listener = UnixListener::bind(&own_path)?;
        std::fs::rename(&own_path, self.socket_path())?;
        Ok(listener)
    }
}

#[cfg(test)]
mod tests;
