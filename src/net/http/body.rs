//! Incremental decoding of message bodies from the read buffer.

mod chunks;
mod partial_chunk;

use bytes::{Bytes, BytesMut};
use tokio::io::AsyncRead;

use super::{Buffer, Framing, HttpError};

/// The state of the decoder: the element of the body that it expects next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// The remaining bytes of a body with a content length.
    Length {
        remaining: u64,
    },
    /// Everything until the connection closes.
    UntilClose,
    /// The size line of a chunk.
    ChunkSize,
    /// The remaining data of a chunk.
    ChunkData {
        remaining: u64,
    },
    /// The line end after the data of a chunk.
    ChunkEnd,
    /// The trailer lines after the last chunk.
    Trailer,
    Complete,
}

/// The result of one decoding step on the received bytes.
enum Decoded {
    /// The first `length` bytes belong to the body; the next `framing` bytes are framing.
    Data { length: usize, framing: usize },
    /// The given number of leading bytes are framing. More framing may follow them.
    Framing(usize),
    /// The received bytes end before the expected element is complete.
    NeedsMore,
}

impl Decoded {
    /// Body bytes that no framing follows.
    fn data(length: usize) -> Decoded {
        Decoded::Data { length, framing: 0 }
    }
}

/// An incremental decoder of one message body.
#[derive(Clone, Copy, Debug)]
pub struct Body {
    state: State,
    complete_chunks: bool,
}

impl Body {
    /// Creates a decoder at the start of a body.
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

    /// Creates a decoder that limits the size of chunks and decodes a chunk only once it has
    /// arrived completely. So a wrong chunk size is detected before any byte of the chunk is
    /// returned.
    pub fn with_bounded_chunks(framing: Framing) -> Body {
        Body {
            complete_chunks: true,
            ..Body::new(framing)
        }
    }

    /// The length of the rest of the body, if it was declared ahead of the body.
    pub fn declared_length(&self) -> Option<usize> {
        match self.state {
            State::Length { remaining } => usize::try_from(remaining).ok(),
            _ => None,
        }
    }

    /// Whether the whole body has been decoded.
    pub fn is_complete(&self) -> bool {
        self.state == State::Complete
    }

    /// Takes the next body bytes from the buffer, without framing. `None` if the buffer has none:
    /// more has to be read first, or the body is complete.
    pub fn take_buffered(&mut self, buffer: &mut Buffer) -> Result<Option<Bytes>, HttpError> {
        loop {
            match self.decode(buffer.bytes())? {
                Decoded::Data { length, framing } => {
                    let bytes = buffer.take(length);
                    buffer.skip(framing);
                    return Ok(Some(bytes));
                }
                Decoded::Framing(length) => buffer.skip(length),
                Decoded::NeedsMore => return Ok(None),
            }
        }
    }

    /// Passes all body bytes in the buffer to `pass_on`, without framing. Chunks can be as small as
    /// one byte, so they are passed as slices instead of being copied one by one.
    pub fn drain_buffered(
        &mut self,
        buffer: &mut Buffer,
        mut pass_on: impl FnMut(&[u8]),
    ) -> Result<(), HttpError> {
        let mut decoded = 0;
        let result = self.decode_all(buffer.bytes(), &mut decoded, &mut pass_on);
        buffer.skip(decoded);
        result
    }

    /// Decodes as many bytes as possible, adds their number to `decoded` and passes the body bytes
    /// to `pass_on`.
    fn decode_all(
        &mut self,
        bytes: &[u8],
        decoded: &mut usize,
        pass_on: &mut impl FnMut(&[u8]),
    ) -> Result<(), HttpError> {
        loop {
            let next = &bytes[*decoded..];
            match self.decode(next)? {
                Decoded::Data { length, framing } => {
                    pass_on(&next[..length]);
                    *decoded += length + framing;
                }
                Decoded::Framing(length) => *decoded += length,
                Decoded::NeedsMore => return Ok(()),
            }
        }
    }

    fn decode(&mut self, bytes: &[u8]) -> Result<Decoded, HttpError> {
        let available = bytes.len();
        match self.state {
            State::Complete => Ok(Decoded::NeedsMore),
            _ if available == 0 => Ok(Decoded::NeedsMore),
            State::UntilClose => Ok(Decoded::data(available)),
            State::Length { remaining } => {
                let count = remaining.min(available as u64);
                self.state = match remaining - count {
                    0 => State::Complete,
                    remaining => State::Length { remaining },
                };
                Ok(Decoded::data(count as usize))
            }
            State::ChunkSize => self.decode_chunk_size(bytes),
            State::ChunkData { remaining } if self.complete_chunks => {
                self.decode_complete_chunk(bytes, remaining as usize)
            }
            State::ChunkData { remaining } => {
                let count = remaining.min(available as u64);
                self.state = match remaining - count {
                    0 => State::ChunkEnd,
                    remaining => State::ChunkData { remaining },
                };
                Ok(Decoded::data(count as usize))
            }
            State::ChunkEnd => self.decode_chunk_end(bytes),
            State::Trailer => self.decode_trailer_line(bytes),
        }
    }

    /// How many bytes of `next`, which follows the bytes in the buffer, belong to this body. All of
    /// them, if the bytes can't be decoded: the end of the body is unknown then.
    pub fn length_in(&self, buffer: &Buffer, next: &[u8]) -> usize {
        if let State::Length { remaining } = self.state {
            let remaining = remaining.saturating_sub(buffer.bytes().len() as u64);
            return next
                .len()
                .min(usize::try_from(remaining).unwrap_or(usize::MAX));
        }
        if buffer.is_empty() {
            return self.length_at_start_of(next);
        }
        let both = buffer.followed_by(next);
        let length = self.length_at_start_of(both.bytes());
        length.saturating_sub(buffer.bytes().len())
    }

    /// How many of the leading bytes belong to this body.
    fn length_at_start_of(&self, bytes: &[u8]) -> usize {
        let mut body = *self;
        let mut decoded = 0;
        let result = body.decode_all(bytes, &mut decoded, &mut |_| {});
        if result.is_ok() && body.is_complete() {
            decoded
        } else {
            bytes.len()
        }
    }

    /// Returns the next body bytes, and reads from the connection if none are buffered. `None` at
    /// the end of the body. Cancel safe.
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

    /// Reads the remaining body. Fails if it is longer than `max_bytes`.
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
