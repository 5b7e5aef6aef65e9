//! Traits for the file system calls that write durable state. Tests replace the operating system's
//! file system with a simulated one.

use std::io::{self, ErrorKind};
use std::path::Path;
use std::sync::Arc;

use crate::system_call::retry_on_interrupt;

/// The calls on paths. Each may fail with any error that Linux documents for it, `Interrupted`
/// included.
pub trait FileSystem: Send + Sync {
    /// Creates a file for writing, or truncates an existing one.
    fn create(&self, path: &Path) -> io::Result<Arc<dyn OpenFile>>;
    /// Opens an existing file for writing.
    fn open(&self, path: &Path) -> io::Result<Arc<dyn OpenFile>>;
    /// Renames a file. An existing file with the new name is replaced.
    fn rename(&self, from: &Path, to: &Path) -> io::Result<()>;
    /// Makes the names in a directory durable (creations, renames and removals).
    fn sync_directory(&self, directory: &Path) -> io::Result<()>;
    /// Removes a file.
    fn remove(&self, path: &Path) -> io::Result<()>;
    /// Reads a complete file.
    fn read(&self, path: &Path) -> io::Result<Vec<u8>>;
}

/// The calls on an open file.
pub trait OpenFile: Send + Sync {
    /// Writes at an offset; returns how many bytes were written, which may be fewer than given.
    fn write_at(&self, bytes: &[u8], offset: u64) -> io::Result<usize>;
    /// Sets the file's length in bytes.
    fn truncate(&self, length: u64) -> io::Result<()>;
    /// Makes the file's content durable.
    fn sync(&self) -> io::Result<()>;
}

/// Writes all bytes at an offset, with as many calls as necessary.
pub fn write_all_at(file: &dyn OpenFile, bytes: &[u8], offset: u64) -> io::Result<()> {
    let mut written = 0;
    while written < bytes.len() {
        let remaining = &bytes[written..];
        match retry_on_interrupt(|| file.write_at(remaining, offset + written as u64))? {
            0 => return Err(ErrorKind::WriteZero.into()),
            count => written += count,
        }
    }
    Ok(())
}
