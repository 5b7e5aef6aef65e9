//! Durable files on a file system whose calls may fail temporarily: the calls as traits, atomic
//! replacement of a small file, a writer that retries until the latest state is on disk, and reads
//! that may hang. The callers define the content of the files.

pub mod atomic_file;
pub mod background_reader;
pub mod background_writer;
mod disk;
pub mod file_system;

#[cfg(test)]
pub(crate) mod failing_disk;
#[cfg(test)]
pub(crate) mod simulated_disk;

pub use atomic_file::{AtomicFile, WriteError};
pub use background_reader::{BackgroundReader, ReadAbandoned};
pub use background_writer::{BackgroundWriter, NotWritten, Version, WriteFailure};
pub use disk::Disk;
pub use file_system::{FileSystem, OpenFile};
