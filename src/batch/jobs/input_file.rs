//! The input file of a batch, read at explicit offsets.

use std::io;
use std::ops::Range;
use std::os::unix::fs::FileExt;
use std::sync::Arc;

use tokio::task::spawn_blocking;

use crate::batch::store::StoredFile;
use crate::system_call::retry_on_interrupt;

/// An input file that is open for reading. Clones share the open file.
#[derive(Clone)]
pub(super) struct InputFile {
    file: Arc<std::fs::File>,
    /// The size of the content. Bytes after it do not belong to the file.
    size_bytes: u64,
}

impl InputFile {
    pub(super) async fn new(stored: StoredFile) -> InputFile {
        InputFile {
            file: Arc::new(stored.file.into_std().await),
            size_bytes: stored.info.bytes,
        }
    }

    /// Reads up to `max_bytes` at `offset`; returns no bytes at the end of the content.
    pub(super) async fn read_some(&self, offset: u64, max_bytes: usize) -> io::Result<Vec<u8>> {
        let available = self.size_bytes.saturating_sub(offset);
        let max_bytes = available.min(max_bytes as u64) as usize;
        let file = self.file.clone();
        let read = move || {
            let mut bytes = vec![0; max_bytes];
            let count = retry_on_interrupt(|| file.read_at(&mut bytes, offset))?;
            bytes.truncate(count);
            Ok(bytes)
        };
        spawn_blocking(read).await.map_err(io::Error::other)?
    }

    /// Reads exactly the bytes of a range.
    pub(super) async fn read_range(&self, range: Range<u64>) -> io::Result<Vec<u8>> {
        let file = self.file.clone();
        let read = move || {
            let mut bytes = vec![0; (range.end - range.start) as usize];
            file.read_exact_at(&mut bytes, range.start)?;
            Ok(bytes)
        };
        spawn_blocking(read).await.map_err(io::Error::other)?
    }
}
