//! The chunked transfer coding: size lines, chunks and the trailer.

use super::{Body, Decoded, State};
use crate::net::http::{HttpError, MAX_CHUNK_BYTES, MAX_CHUNK_LINE_BYTES};

pub(super) const LINE_END: &[u8] = b"\r\n";

impl Body {
    pub(super) fn decode_chunk_size(&mut self, bytes: &[u8]) -> Result<Decoded, HttpError> {
        // `httparse` reads a size without digits as 0
        if bytes
            .first()
            .is_some_and(|first| !first.is_ascii_hexdigit())
        {
            return Err(HttpError::Malformed("a chunk's size"));
        }
        match httparse::parse_chunk_size(bytes) {
            Ok(httparse::Status::Complete((_, size)))
                if self.complete_chunks && size > MAX_CHUNK_BYTES =>
            {
                Err(HttpError::Malformed("a chunk's size is over the limit"))
            }
            Ok(httparse::Status::Complete((line_length, size))) => {
                self.state = match size {
                    0 => State::Trailer,
                    remaining => State::ChunkData { remaining },
                };
                Ok(Decoded::Framing(line_length))
            }
            Ok(httparse::Status::Partial) if bytes.len() <= MAX_CHUNK_LINE_BYTES => {
                Ok(Decoded::NeedsMore)
            }
            _ => Err(HttpError::Malformed("a chunk's size")),
        }
    }

    /// Decodes a chunk and the line end after it, once both have arrived completely.
    pub(super) fn decode_complete_chunk(
        &mut self,
        bytes: &[u8],
        size: usize,
    ) -> Result<Decoded, HttpError> {
        let Some(line_end) = bytes.get(size..size + LINE_END.len()) else {
            return Ok(Decoded::NeedsMore);
        };
        if line_end != LINE_END {
            return Err(HttpError::Malformed("a chunk's end"));
        }
        self.state = State::ChunkSize;
        if size == 0 {
            // all of the chunk was taken before its line end arrived
            return Ok(Decoded::Framing(LINE_END.len()));
        }
        Ok(Decoded::Data {
            length: size,
            framing: LINE_END.len(),
        })
    }

    pub(super) fn decode_chunk_end(&mut self, bytes: &[u8]) -> Result<Decoded, HttpError> {
        if bytes.len() < LINE_END.len() {
            return Ok(Decoded::NeedsMore);
        }
        if !bytes.starts_with(LINE_END) {
            return Err(HttpError::Malformed("a chunk's end"));
        }
        self.state = State::ChunkSize;
        Ok(Decoded::Framing(LINE_END.len()))
    }

    pub(super) fn decode_trailer_line(&mut self, bytes: &[u8]) -> Result<Decoded, HttpError> {
        let Some(end) = bytes.iter().position(|&byte| byte == b'\n') else {
            return if bytes.len() <= MAX_CHUNK_LINE_BYTES {
                Ok(Decoded::NeedsMore)
            } else {
                Err(HttpError::Malformed("a trailer"))
            };
        };
        let line = bytes[..end].strip_suffix(b"\r").unwrap_or(&bytes[..end]);
        if line.is_empty() {
            self.state = State::Complete;
        } else if !is_field(line) {
            return Err(HttpError::Malformed("a trailer"));
        }
        Ok(Decoded::Framing(end + 1))
    }
}

/// Whether a trailer line is a header field: a name of visible characters, then a colon.
fn is_field(line: &[u8]) -> bool {
    let name_length = line.iter().position(|&byte| byte == b':');
    name_length.is_some_and(|length| length > 0 && line[..length].iter().all(u8::is_ascii_graphic))
}
