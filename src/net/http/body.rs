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

/// The result of a step of the decoder on bytes that have arrived.
enum Decoded {
    /// So many of the first bytes are the body's; framing of `framing` bytes follows them.
    Data { length: usize, framing: usize },
    /// So many of the first bytes are framing; there may be more.
    Framing(usize),
    /// The bytes end within what comes next.
    NeedsMore,
}

impl Decoded {
    /// Bytes of the body without framing behind them.
    fn data(length: usize) -> Decoded {
        Decoded::Data { length, framing: 0 }
    }
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
            match self.decode(buffer.bytes())? {
                Decoded::Data { length, framing } => {
                    let bytes = buffer.copy_out(length);
                    buffer.skip(framing);
                    return Ok(Some(bytes));
                }
                Decoded::Framing(length) => buffer.skip(length),
                Decoded::NeedsMore => return Ok(None),
            }
        }
    }

    /// Passes on all bytes of the body that are in the buffer, without framing. Chunks may be as
    /// small as a byte, so none is copied for itself.
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

    /// Decodes as many bytes as it can, counts them and passes the body's on.
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

    /// How many of the bytes that follow those in the buffer belong to this body. Bytes that can't
    /// be decoded have no end, so all of them do.
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

    /// How many of the first bytes belong to this body.
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
