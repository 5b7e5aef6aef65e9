//! The router's folder, through which its processes connect to each other. Defines the paths of the
//! Unix socket and of the maintenance state file, which `lifecycle` writes.

use std::fs::File;
use std::os::fd::AsRawFd;
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use tokio::net::UnixListener;
use tokio::time::sleep;
use tracing::warn;

use super::maintenance_file;
use crate::backoff::Backoff;
use crate::log_limit::LogLimit;
use crate::ops::maintenance_state::MaintenanceState;
use crate::storage::{AtomicFile, Disk};

/// Initial delay between attempts to bind the socket.
const FIRST_BIND_DELAY: Duration = Duration::from_millis(5);
/// Maximum delay between attempts to bind the socket.
const MAX_BIND_DELAY: Duration = Duration::from_secs(2);
/// Maximum length in bytes of a folder path that is used directly. The socket's path, with a file
/// name of up to 40 bytes, then stays within the 108 bytes that Linux allows.
const MAX_FOLDER_PATH_BYTES: usize = 64;
/// No file has this inode number.
const NO_INODE: u64 = 0;

/// The router's folder, through which its processes connect to each other.
pub struct Rendezvous {
    folder: PathBuf,
    /// The inode number of the socket that this process has bound last, or `NO_INODE`.
    bound_inode: AtomicU64,
    /// Keeps the folder open if `folder` is a path through its descriptor.
    _descriptor: Option<File>,
}

impl Rendezvous {
    /// Uses this folder. A long path is replaced by a path through an open descriptor, because the
    /// length of a socket's path is limited.
    pub fn new(folder: &Path) -> std::io::Result<Rendezvous> {
        if folder.as_os_str().len() <= MAX_FOLDER_PATH_BYTES {
            return Ok(Rendezvous {
                folder: folder.to_path_buf(),
                bound_inode: AtomicU64::new(NO_INODE),
                _descriptor: None,
            });
        }
        let descriptor = File::open(folder)?;
        Ok(Rendezvous {
            folder: format!("/proc/self/fd/{}", descriptor.as_raw_fd()).into(),
            bound_inode: AtomicU64::new(NO_INODE),
            _descriptor: Some(descriptor),
        })
    }

    /// The path of the maintenance state file.
    pub fn maintenance_file(&self) -> PathBuf {
        self.folder.join("stilespan.orders")
    }

    /// The path of the socket on which the running process accepts successors.
    pub(super) fn socket_path(&self) -> PathBuf {
        self.folder.join("stilespan.sock")
    }

    /// Whether the socket is the one that this process has bound: connecting to it would reach this
    /// process itself.
    pub(super) fn owns_socket(&self) -> bool {
        let inode = self.bound_inode.load(Ordering::Relaxed);
        let metadata = std::fs::metadata(self.socket_path());
        inode != NO_INODE && metadata.is_ok_and(|metadata| metadata.ino() == inode)
    }

    /// Loads the maintenance state from its file. Returns the default state if there is no file, or
    /// if neither the file nor its copy can be used.
    pub async fn load_maintenance(&self) -> MaintenanceState {
        let file = AtomicFile::new(self.maintenance_file());
        maintenance_file::remove_stale_temporary_files(&file);
        let stored = maintenance_file::load(&file, Arc::new(Disk)).await;
        stored.unwrap_or_default()
    }

    /// Reads the maintenance state that another process has written. `None` if there is no file, or
    /// if neither the file nor its copy can be used.
    pub(super) async fn read_maintenance(&self) -> Option<MaintenanceState> {
        let file = AtomicFile::new(self.maintenance_file());
        maintenance_file::load(&file, Arc::new(Disk)).await
    }

    /// Binds the socket, retrying until it succeeds. Processes that start afterwards connect to
    /// this process.
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
                    "{}: the socket can't be bound: {error}; retrying, no successor process can \
                     connect until this succeeds{omitted}",
                    self.socket_path().display()
                );
            }
            sleep(backoff.next_delay()).await;
        }
    }

    /// Binds a socket at a path unique to this process and renames it, which atomically replaces a
    /// predecessor's socket.
    pub(super) fn try_bind(&self) -> std::io::Result<UnixListener> {
        let unique_path = self
            .folder
            .join(format!("stilespan.{}.sock", std::process::id()));
        let _ = std::fs::remove_file(&unique_path);
        let listener = UnixListener::bind(&unique_path)?;
        let inode = std::fs::metadata(&unique_path)?.ino();
        self.bound_inode.store(inode, Ordering::Relaxed);
        std::fs::rename(&unique_path, self.socket_path())?;
        Ok(listener)
    }
}

#[cfg(test)]
mod tests;
