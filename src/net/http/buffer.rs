//! The read buffer of a connection.

use bytes::{Buf, Bytes, BytesMut};
use tokio::io::{AsyncRead, AsyncReadExt};

use super::HttpError;

/// The largest allocation that an empty buffer keeps, in bytes. Idle connections are many, and each
/// may have carried a large body once.
const MAX_EMPTY_CAPACITY_BYTES: usize = 8 << 10;
/// The space that is made for one read, in bytes.
const READ_BYTES: usize = 4 << 10;

/// A connection's only read buffer: it grows as a message needs and is compacted in place.
#[derive(Debug, Default)]
pub struct Buffer {
    bytes: BytesMut,
}

impl Buffer {
    /// The bytes that have been read from the connection and not taken.
    pub fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    /// Whether the buffer is empty.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Drops `count` bytes from the front.
    pub fn skip(&mut self, count: usize) {
        self.bytes.advance(count.min(self.bytes.len()));
        if self.bytes.is_empty() && self.bytes.capacity() > MAX_EMPTY_CAPACITY_BYTES {
            self.bytes = BytesMut::new();
        }
    }

    /// Adds bytes at the end.
    pub fn append(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    /// A copy of its bytes, followed by more.
    pub(super) fn followed_by(&self, next: &[u8]) -> Buffer {
        let mut bytes = BytesMut::with_capacity(self.bytes.len() + next.len());
        bytes.extend_from_slice(&self.bytes);
        bytes.extend_from_slice(next);
        Buffer { bytes }
    }

    /// Takes `count` bytes off the front. They are copied, so that the buffer stays the only owner
    /// of its allocation.
    pub fn copy_out(&mut self, count: usize) -> Bytes {
        let count = count.min(self.bytes.len());
        let copy = Bytes::copy_from_slice(&self.bytes[..count]);
        self.skip(count);
        copy
    }

    /// Reads more; 0 at the connection's end. Cancel safe.
    pub async fn fill(&mut self, from: &mut (impl AsyncRead + Unpin)) -> std::io::Result<usize> {
        // the allocation has no other owner, so this moves the rest to its front before it grows
        self.bytes.reserve(READ_BYTES);
        from.read_buf(&mut self.bytes).await
    }

    /// Reads at least one byte more.
    pub(super) async fn fill_some(
        &mut self,
        from: &mut (impl AsyncRead + Unpin),
    ) -> Result<(), HttpError> {
        if self.fill(from).await? == 0 {
            Err(HttpError::ConnectionClosed)
        } else {
            Ok(())
        }
    }
}
