//! The operating system's file system, for production.

use std::fs::{self, File, OpenOptions};
use std::io::{self, ErrorKind};
use std::os::unix::fs::FileExt;
use std::path::Path;
use std::sync::Arc;

use super::{FileSystem, OpenFile};

/// The operating system's file system.
#[derive(Clone, Copy, Debug, Default)]
pub struct Disk;

impl FileSystem for Disk {
    fn create(&self, path: &Path) -> io::Result<Arc<dyn OpenFile>> {
        Ok(Arc::new(File::create(path)?))
    }

    fn open(&self, path: &Path) -> io::Result<Arc<dyn OpenFile>> {
        Ok(Arc::new(OpenOptions::new().write(true).open(path)?))
    }

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        fs::rename(from, to)
    }

    fn sync_directory(&self, directory: &Path) -> io::Result<()> {
        match File::open(directory)?.sync_all() {
            // some file systems don't support syncing a directory and offer no alternative
            Err(error) if error.kind() == ErrorKind::InvalidInput => Ok(()),
            result => result,
        }
    }

    fn remove(&self, path: &Path) -> io::Result<()> {
        fs::remove_file(path)
    }

    fn read(&self, path: &Path) -> io::Result<Vec<u8>> {
        fs::read(path)
    }
}

impl OpenFile for File {
    fn write_at(&self, bytes: &[u8], offset: u64) -> io::Result<usize> {
        FileExt::write_at(self, bytes, offset)
    }

    fn truncate(&self, length: u64) -> io::Result<()> {
        self.set_len(length)
    }

    fn sync(&self) -> io::Result<()> {
        self.sync_all()
    }
}
