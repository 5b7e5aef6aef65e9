//! The operating system's file system with faults injected into the next calls, for tests.

use std::collections::VecDeque;
use std::io;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use super::simulated_disk::Fault;
use super::{Disk, FileSystem, OpenFile};

#[derive(Default)]
struct Shared {
    faults: Mutex<VecDeque<Fault>>,
    /// Writes block while this is set.
    blocked: AtomicBool,
}

/// The operating system's disk with injected faults. Clones share the faults.
#[derive(Clone, Default)]
pub struct FailingDisk(Arc<Shared>);

impl FailingDisk {
    /// Injects these faults into the next calls, one each.
    pub fn fail_next(&self, faults: impl IntoIterator<Item = Fault>) {
        self.0.faults.lock().unwrap().extend(faults);
    }

    /// The number of faults that have not been injected yet.
    pub fn faults_left(&self) -> usize {
        self.0.faults.lock().unwrap().len()
    }

    /// Blocks or unblocks writes.
    pub fn block_writes(&self, blocked: bool) {
        self.0.blocked.store(blocked, Ordering::SeqCst);
    }

    /// Takes the next fault, for a call that transfers no bytes.
    fn next_error(&self) -> io::Result<()> {
        match self.0.faults.lock().unwrap().pop_front() {
            Some(Fault::Error(errno) | Fault::HalfThenError(errno)) => Err(errno.into()),
            _ => Ok(()),
        }
    }

    fn wrap(&self, file: Arc<dyn OpenFile>) -> Arc<dyn OpenFile> {
        Arc::new(FailingFile {
            disk: self.clone(),
            file,
        })
    }
}

impl FileSystem for FailingDisk {
    fn create(&self, path: &Path) -> io::Result<Arc<dyn OpenFile>> {
        self.next_error()?;
        Ok(self.wrap(Disk.create(path)?))
    }

    fn open(&self, path: &Path) -> io::Result<Arc<dyn OpenFile>> {
        self.next_error()?;
        Ok(self.wrap(Disk.open(path)?))
    }

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        self.next_error()?;
        Disk.rename(from, to)
    }

    fn sync_directory(&self, directory: &Path) -> io::Result<()> {
        self.next_error()?;
        Disk.sync_directory(directory)
    }

    fn remove(&self, path: &Path) -> io::Result<()> {
        self.next_error()?;
        Disk.remove(path)
    }

    fn read(&self, path: &Path) -> io::Result<Vec<u8>> {
        self.next_error()?;
        Disk.read(path)
    }
}

struct FailingFile {
    disk: FailingDisk,
    file: Arc<dyn OpenFile>,
}

impl OpenFile for FailingFile {
    fn write_at(&self, bytes: &[u8], offset: u64) -> io::Result<usize> {
        while self.disk.0.blocked.load(Ordering::SeqCst) {
            std::thread::sleep(Duration::from_millis(1));
        }
        let fault = self.disk.0.faults.lock().unwrap().pop_front();
        let half = &bytes[..bytes.len().div_ceil(2)];
        match fault {
            None => self.file.write_at(bytes, offset),
            Some(Fault::Error(errno)) => Err(errno.into()),
            Some(Fault::HalfThenError(errno)) => {
                self.file.write_at(half, offset)?;
                Err(errno.into())
            }
            Some(_) => self.file.write_at(half, offset),
        }
    }

    fn truncate(&self, length: u64) -> io::Result<()> {
        self.disk.next_error()?;
        self.file.truncate(length)
    }

    fn sync(&self) -> io::Result<()> {
        self.disk.next_error()?;
        self.file.sync()
    }
}
