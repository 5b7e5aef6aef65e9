//! Bodies, decoded from the buffer piece by piece.

mod chunks;

use bytes::{Bytes, BytesMut};
use tokio::io::AsyncRead;

use super::{Buffer, Framing, HttpError};

/// The state of the decoder: the element of the body that comes next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// The rest of a body with a length.
    Length {
        remaining: u64,
    },
    /// All that comes until the connection closes.
    UntilClose,
    /// A chunk's size line.
    ChunkSize,
    /// The rest of a chunk's data.
    ChunkData {
        remaining: u64,
    },
    /// The line end after a chunk's data.
    ChunkEnd,
    /// The lines after the last chunk.
    Trailer,
    Complete,
}

/// The result of a step of the decoder.
enum Decoded {
    Bytes(Bytes),
    /// Framing was taken off the buffer; there may be more.
    Framing,
    /// The buffer ends within what comes next.
    NeedsMore,
}

/// Decodes a body from the buffer, piece by piece.
#[derive(Clone, Copy, Debug)]
pub struct Body {
    state: State,
    complete_chunks: bool,
}

impl Body {
    /// A body of which nothing has been decoded.
    pub fn new(framing: Framing) -> Body {
        Body {
            state: match framing {
                Framing::Length(0) => State::Complete,
                Framing::Length(remaining) => State::Length { remaining },
                Framing::Chunked => State::ChunkSize,
                Framing::UntilClose => State::UntilClose,
            },
            complete_chunks: false,
        }
    }

    /// A body whose chunks are decoded only once complete, and are limited in size. A wrong size is
    /// detected before any of the chunk is passed on.
    pub fn with_bounded_chunks(framing: Framing) -> Body {
        Body {
            complete_chunks: true,
            ..Body::new(framing)
        }
    }

    /// Whether a chunk, or its framing, has begun to arrive and is not complete.
    pub fn is_chunk_partial(&self, buffer: &Buffer) -> bool {
        let is_between_chunks = matches!(
            self.state,
            State::ChunkSize | State::Length { .. } | State::UntilClose | State::Complete
        );
        !buffer.is_empty() || !is_between_chunks
    }

    /// Whether the body was decoded to its end.
    pub fn is_complete(&self) -> bool {
        self.state == State::Complete
    }

    /// The next bytes of the body that are in the buffer, without framing; none until more has been
    /// read.
    pub fn take_buffered(&mut self, buffer: &mut Buffer) -> Result<Option<Bytes>, HttpError> {
        loop {
            match self.decode(buffer)? {
                Decoded::Bytes(bytes) => return Ok(Some(bytes)),
                Decoded::Framing => {}
                Decoded::NeedsMore => return Ok(None),
            }
        }
    }

    fn decode(&mut self, buffer: &mut Buffer) -> Result<Decoded, HttpError> {
        let available = buffer.bytes().len();
        match self.state {
            State::Complete => Ok(Decoded::NeedsMore),
            _ if available == 0 => Ok(Decoded::NeedsMore),
            State::UntilClose => Ok(Decoded::Bytes(buffer.copy_out(available))),
            State::Length { remaining } => {
                let count = remaining.min(available as u64);
                self.state = match remaining - count {
                    0 => State::Complete,
                    remaining => State::Length { remaining },
                };
                Ok(Decoded::Bytes(buffer.copy_out(count as usize)))
            }
            State::ChunkSize => self.decode_chunk_size(buffer),
            State::ChunkData { remaining } if self.complete_chunks => {
                self.decode_complete_chunk(buffer, remaining as usize)
            }
            State::ChunkData { remaining } => {
                let count = remaining.min(available as u64);
                self.state = match remaining - count {
                    0 => State::ChunkEnd,
                    remaining => State::ChunkData { remaining },
                };
                Ok(Decoded::Bytes(buffer.copy_out(count as usize)))
            }
            State::ChunkEnd => self.decode_chunk_end(buffer),
            State::Trailer => self.decode_trailer_line(buffer),
        }
    }

    /// How many of the bytes that follow those in the buffer belong to this body. Bytes that can't
    /// be decoded have no end, so all of them do.
    pub fn length_in(&self, buffer: &Buffer, next: &[u8]) -> usize {
        if let State::Length { remaining } = self.state {
            let remaining = remaining.saturating_sub(buffer.bytes().len() as u64);
            return next
                .len()
                .min(usize::try_from(remaining).unwrap_or(usize::MAX));
        }
        let mut body = *self;
        let mut both = buffer.followed_by(next);
        while let Ok(Some(_)) = body.take_buffered(&mut both) {}
        let behind = if body.is_complete() {
            both.bytes().len()
        } else {
            0
        };
        next.len().saturating_sub(behind)
    }

    /// The next bytes of the body, read as needed; none at its end. Cancel safe.
    pub async fn next(
        &mut self,
        buffer: &mut Buffer,
        from: &mut (impl AsyncRead + Unpin),
    ) -> Result<Option<Bytes>, HttpError> {
        loop {
            if let Some(bytes) = self.take_buffered(buffer)? {
                return Ok(Some(bytes));
            }
            if self.is_complete() {
                return Ok(None);
            }
            if buffer.fill(from).await? == 0 {
                if self.state != State::UntilClose {
                    return Err(HttpError::ConnectionClosed);
                }
                self.state = State::Complete;
            }
        }
    }

    /// The complete body, up to `max_bytes`; a longer one is an error.
    pub async fn read_to_end(
        &mut self,
        buffer: &mut Buffer,
        from: &mut (impl AsyncRead + Unpin),
        max_bytes: usize,
    ) -> Result<Bytes, HttpError> {
        if let State::Length { remaining } = self.state
            && remaining > max_bytes as u64
        {
            return Err(HttpError::BodyTooLarge);
        }
        let mut bytes = BytesMut::new();
        while let Some(more) = self.next(buffer, from).await? {
            if bytes.len() + more.len() > max_bytes {
                return Err(HttpError::BodyTooLarge);
            }
            bytes.extend_from_slice(&more);
        }
        Ok(bytes.freeze())
    }
}
