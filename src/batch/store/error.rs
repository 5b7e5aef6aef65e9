//! Errors of the store.

use std::io;

use thiserror::Error;

/// Why an operation of the store failed.
#[derive(Debug, Error)]
pub enum StoreError {
    /// No file has this id.
    #[error("no such file")]
    Unknown,
    /// The file has another writer.
    #[error("the file is being written by another request")]
    Busy,
    /// The file has not been uploaded completely.
    #[error("the file is not uploaded whole")]
    Incomplete,
    /// The offset is not the end of the file.
    #[error("the file ends at offset {end}")]
    WrongOffset {
        /// The end of the file.
        end: u64,
    },
    /// The file would exceed the size limit or the length that was announced for it.
    #[error("the file may hold {max_bytes} bytes at most")]
    TooLarge {
        /// The limit or the announced length, in bytes.
        max_bytes: u64,
    },
    /// The spool has no space left, or holds too many files.
    #[error("the store is full: delete files that are no longer needed")]
    Full,
    /// A file system operation failed.
    #[error("the spool: {0}")]
    Io(#[from] io::Error),
}
