//! Access to a chunk that has arrived in part.

use bytes::Bytes;

use super::chunks::LINE_END;
use super::{Body, State};
use crate::net::http::Buffer;

impl Body {
    /// The data that has arrived of a chunk that is not complete.
    pub fn partial_chunk<'b>(&self, buffer: &'b Buffer) -> &'b [u8] {
        let bytes = buffer.bytes();
        match self.state {
            State::ChunkData { remaining } => {
                let length = usize::try_from(remaining).unwrap_or(usize::MAX);
                &bytes[..bytes.len().min(length)]
            }
            _ => &[],
        }
    }

    /// How many bytes of the current chunk have not been decoded, with the line end after it. `None`
    /// if the body is not within a chunk.
    pub fn undecoded_chunk_bytes(&self) -> Option<usize> {
        match self.state {
            State::ChunkData { remaining } => {
                let remaining = usize::try_from(remaining).unwrap_or(usize::MAX);
                Some(remaining.saturating_add(LINE_END.len()))
            }
            _ => None,
        }
    }

    /// Takes the first `count` bytes of [`Self::partial_chunk`] from the buffer.
    pub fn take_partial_chunk(&mut self, buffer: &mut Buffer, count: usize) -> Bytes {
        let count = count.min(self.partial_chunk(buffer).len());
        if let State::ChunkData { remaining } = &mut self.state {
            *remaining -= count as u64;
        }
        buffer.take(count)
    }
}
