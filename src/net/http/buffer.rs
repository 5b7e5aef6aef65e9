//! The read buffer of a connection.

use bytes::{Buf, Bytes, BytesMut};
use tokio::io::{AsyncRead, AsyncReadExt};

use super::HttpError;

/// The maximum capacity that an empty buffer keeps, in bytes. There are many idle connections, and
/// any of them may have carried a large body before.
const MAX_EMPTY_CAPACITY_BYTES: usize = 8 << 10;
/// The capacity reserved for one read, in bytes.
const READ_BYTES: usize = 4 << 10;

/// The only read buffer of a connection. It grows with the message and is compacted in place.
#[derive(Debug, Default)]
pub struct Buffer {
    bytes: BytesMut,
}

impl Buffer {
    /// The bytes that were read from the connection and not taken yet.
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

    /// Appends bytes at the end.
    pub fn append(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    /// Returns a new buffer with a copy of these bytes, followed by `next`.
    pub(super) fn followed_by(&self, next: &[u8]) -> Buffer {
        let mut bytes = BytesMut::with_capacity(self.bytes.len() + next.len());
        bytes.extend_from_slice(&self.bytes);
        bytes.extend_from_slice(next);
        Buffer { bytes }
    }

    /// Removes `count` bytes from the front and returns them. Few bytes are copied, so that the
    /// buffer remains the only owner of its allocation; many bytes take the allocation with them.
    pub fn take(&mut self, count: usize) -> Bytes {
        let count = count.min(self.bytes.len());
        if count > MAX_EMPTY_CAPACITY_BYTES {
            let rest = BytesMut::from(&self.bytes[count..]);
            let mut taken = std::mem::replace(&mut self.bytes, rest);
            taken.truncate(count);
            return taken.freeze();
        }
        let copy = Bytes::copy_from_slice(&self.bytes[..count]);
        self.skip(count);
        copy
    }

    /// Makes room for a message of `length` bytes in all, so that no more is allocated while the
    /// message arrives.
    pub fn reserve_for(&mut self, length: usize) {
        let missing = length.saturating_sub(self.bytes.len());
        self.bytes.reserve(missing + READ_BYTES);
    }

    /// Reads more bytes and returns their number, 0 at the end of the connection. Cancel safe.
    pub async fn fill(&mut self, from: &mut (impl AsyncRead + Unpin)) -> std::io::Result<usize> {
        // the allocation has no other owner, so `reserve` moves the unread bytes to its front
        // before it allocates more
        self.bytes.reserve(READ_BYTES);
        from.read_buf(&mut self.bytes).await
    }

    /// Reads at least one more byte; fails if the connection has ended.
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
