//! Encoding of bodies in the chunked transfer coding.

use bytes::{BufMut, BytesMut};

/// The empty chunk and the empty trailer at the end of a body.
pub const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// The line end after the data of a chunk.
pub const CHUNK_END: &[u8] = b"\r\n";

/// Appends `bytes` to `output` as one chunk. `bytes` must not be empty: an empty chunk ends a body.
pub fn put_chunk(output: &mut BytesMut, bytes: &[u8]) {
    put_chunk_size(output, bytes.len());
    output.put_slice(bytes);
    output.put_slice(CHUNK_END);
}

/// Appends the size line of a chunk, which the data and [`CHUNK_END`] have to follow.
pub fn put_chunk_size(output: &mut BytesMut, length: usize) {
    output.put_slice(format!("{length:x}\r\n").as_bytes());
}
