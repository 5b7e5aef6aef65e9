//! HTTP/1.1 as both sides of the router need it: one growing buffer a connection, heads, and bodies by length,
//! in chunks or to the connection's end.

use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use tokio::io::{AsyncRead, AsyncReadExt};
use tokio::time::timeout;

/// A body holds so much at most.
pub const MAX_BODY: usize = 256 << 10;
/// A head holds so much at most.
pub const MAX_HEAD: usize = 32 << 10;
/// A head has so many lines at most.
const MAX_LINES: usize = 96;
/// A chunk's size line, or a trailer, holds so much at most.
const MAX_SIZE_LINE: usize = 4 << 10;
/// A chunk of a stream holds so much at most: it is held until it is whole.
const MAX_CHUNK: u64 = 256 << 10;
/// Interim answers (1xx) in front of one answer at the most.
const MAX_INTERIM: usize = 32;
/// What has begun to come of a server's head or chunk must be whole within this.
pub const PART: Duration = Duration::from_millis(750);
/// What a connection's buffer keeps when nothing is in it.
const KEPT: usize = 8 << 10;
/// Room made for one read.
const READ: usize = 4 << 10;

/// Why a peer's bytes can't be taken.
#[derive(Debug)]
pub enum HttpError {
    /// The connection failed.
    Io(std::io::Error),
    /// The connection ended within a message.
    Ended,
    /// The bytes are no HTTP/1.1.
    Malformed(&'static str),
    /// The head is over its limit.
    HeadTooLarge,
    /// The body is over its limit.
    BodyTooLarge,
    /// A message that had begun was not whole in time.
    Late,
}

impl std::fmt::Display for HttpError {
    fn fmt(&self, out: &mut std::fmt::Formatter) -> std::fmt::Result {
        match self {
            HttpError::Io(e) => write!(out, "{e}"),
            HttpError::Ended => out.write_str("the connection ended within a message"),
            HttpError::Malformed(what) => write!(out, "malformed: {what}"),
            HttpError::HeadTooLarge => write!(out, "the head is over {MAX_HEAD} bytes"),
            HttpError::BodyTooLarge => out.write_str("the body is too large"),
            HttpError::Late => out.write_str("the message was not whole in time"),
        }
    }
}

impl std::error::Error for HttpError {}

impl From<std::io::Error> for HttpError {
    fn from(e: std::io::Error) -> HttpError {
        HttpError::Io(e)
    }
}

impl HttpError {
    /// The status and reason that a client gets for it; none where the connection is beyond an answer.
    pub fn status(&self) -> Option<(u16, &'static str)> {
        match self {
            HttpError::Io(_) | HttpError::Ended => None,
            HttpError::Malformed(_) => Some((400, "Bad Request")),
            HttpError::HeadTooLarge => Some((431, "Request Header Fields Too Large")),
            HttpError::BodyTooLarge => Some((413, "Content Too Large")),
            HttpError::Late => Some((408, "Request Timeout")),
        }
    }
}

/// A connection's one buffer: it grows as a message needs and is compacted in place.
#[derive(Debug, Default)]
pub struct Buffer {
    bytes: BytesMut,
}

impl Buffer {
    /// What has been read and not taken.
    pub fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    /// Whether nothing is left in it.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Takes `n` bytes off the front.
    pub fn skip(&mut self, n: usize) {
        self.bytes.advance(n.min(self.bytes.len()));
        // guards against memory held by idle connections that once carried a large body
        if self.bytes.is_empty() && self.bytes.capacity() > KEPT {
            self.bytes = BytesMut::new();
        }
    }

    /// Copies `n` bytes off the front, so that the buffer stays the only owner of its room.
    pub fn copy_out(&mut self, n: usize) -> Bytes {
        let n = n.min(self.bytes.len());
        let out = Bytes::copy_from_slice(&self.bytes[..n]);
        self.skip(n);
        out
    }

    /// Reads more; 0 at the connection's end. Cancel safe.
    pub async fn fill(&mut self, from: &mut (impl AsyncRead + Unpin)) -> std::io::Result<usize> {
        // nothing else holds the room, so this moves what is left to the front before it grows
        self.bytes.reserve(READ);
        from.read_buf(&mut self.bytes).await
    }

    async fn need(&mut self, from: &mut (impl AsyncRead + Unpin)) -> Result<(), HttpError> {
        if self.fill(from).await? == 0 { Err(HttpError::Ended) } else { Ok(()) }
    }
}

/// How a body ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// After so many bytes.
    Length(u64),
    /// With the last chunk.
    Chunked,
    /// With the connection (answers only).
    ToEnd,
}

/// The head of a message, with owned lines; names are in lower case.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Head {
    /// A request's method.
    pub method: String,
    /// A request's path and query, as they came.
    pub target: String,
    /// An answer's status.
    pub status: u16,
    /// The lines.
    pub lines: Vec<(String, String)>,
    /// Its version is 1.0.
    pub old: bool,
}

impl Head {
    /// The first value of a line.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.lines.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    /// The path, without the query.
    pub fn path(&self) -> &str {
        self.target.split_once('?').map_or(&self.target, |(path, _)| path)
    }

    /// Whether the connection ends after this message.
    pub fn closes(&self) -> bool {
        let mut words = self.lines.iter().filter(|(n, _)| n == "connection").flat_map(|(_, v)| v.split(','));
        let mut has = |word: &str| words.any(|w| w.trim().eq_ignore_ascii_case(word));
        if self.old { !has("keep-alive") } else { has("close") }
    }

    /// How the body ends; bad lengths are an error, as a second reading of them would split messages elsewhere.
    pub fn framing(&self, answer: bool) -> Result<Framing, HttpError> {
        let mut length = None;
        let mut chunked = false;
        for (name, value) in &self.lines {
            match name.as_str() {
                "content-length" => {
                    let digits = !value.is_empty() && value.bytes().all(|b| b.is_ascii_digit());
                    let n = value.parse::<u64>().ok().filter(|_| digits);
                    let n = n.ok_or(HttpError::Malformed("content-length"))?;
                    if length.is_some_and(|l| l != n) {
                        return Err(HttpError::Malformed("two content-lengths"));
                    }
                    length = Some(n);
                }
                "transfer-encoding" if chunked || !value.eq_ignore_ascii_case("chunked") => {
                    return Err(HttpError::Malformed("transfer-encoding"));
                }
                "transfer-encoding" => chunked = true,
                _ => {}
            }
        }
        match (chunked, length) {
            (true, Some(_)) => Err(HttpError::Malformed("both a length and chunks")),
            (true, None) => Ok(Framing::Chunked),
            (false, Some(n)) => Ok(Framing::Length(n)),
            (false, None) if answer && !matches!(self.status, 204 | 304) => Ok(Framing::ToEnd),
            (false, None) => Ok(Framing::Length(0)),
        }
    }
}

fn lines(headers: &[httparse::Header]) -> Result<Vec<(String, String)>, HttpError> {
    let line = |h: &httparse::Header| {
        let value = std::str::from_utf8(h.value).map_err(|_| HttpError::Malformed("a header's value"))?;
        Ok((h.name.to_ascii_lowercase(), value.trim().to_string()))
    };
    headers.iter().map(line).collect()
}

fn broken(e: httparse::Error) -> HttpError {
    match e {
        httparse::Error::TooManyHeaders => HttpError::HeadTooLarge,
        _ => HttpError::Malformed("the head"),
    }
}

/// Takes a request's head off the buffer, once it is whole.
pub fn request_head(buffer: &mut Buffer) -> Result<Option<Head>, HttpError> {
    let mut room = [httparse::EMPTY_HEADER; MAX_LINES];
    let mut request = httparse::Request::new(&mut room);
    match request.parse(buffer.bytes()).map_err(broken)? {
        httparse::Status::Partial if buffer.bytes().len() > MAX_HEAD => Err(HttpError::HeadTooLarge),
        httparse::Status::Partial => Ok(None),
        httparse::Status::Complete(n) if n > MAX_HEAD => Err(HttpError::HeadTooLarge),
        httparse::Status::Complete(n) => {
            let head = Head {
                method: request.method.unwrap_or_default().to_string(),
                target: request.path.unwrap_or_default().to_string(),
                status: 0,
                lines: lines(request.headers)?,
                old: request.version == Some(0),
            };
            buffer.skip(n);
            Ok(Some(head))
        }
    }
}

/// Takes an answer's head off the buffer, once it is whole; interim answers (1xx) are passed over and counted.
/// A header's value that is no UTF-8 is read as far as it goes: guards against a good stream that is given up
/// for a load report that nobody can read.
fn answer_head(buffer: &mut Buffer, interim: &mut usize) -> Result<Option<Head>, HttpError> {
    loop {
        let mut room = [httparse::EMPTY_HEADER; MAX_LINES];
        let mut answer = httparse::Response::new(&mut room);
        match answer.parse(buffer.bytes()).map_err(broken)? {
            httparse::Status::Partial if buffer.bytes().len() > MAX_HEAD => {
                return Err(HttpError::HeadTooLarge);
            }
            httparse::Status::Partial => return Ok(None),
            httparse::Status::Complete(n) if n > MAX_HEAD => return Err(HttpError::HeadTooLarge),
            httparse::Status::Complete(n) => {
                let text = |v: &[u8]| String::from_utf8_lossy(v).trim().to_string();
                let status = answer.code.unwrap_or_default();
                let head = Head {
                    status,
                    lines: answer
                        .headers
                        .iter()
                        .map(|h| (h.name.to_ascii_lowercase(), text(h.value)))
                        .collect(),
                    old: answer.version == Some(0),
                    ..Head::default()
                };
                buffer.skip(n);
                // 101 changes the protocol, which nobody asked for
                if !(100..200).contains(&status) || status == 101 {
                    return Ok(Some(head));
                }
                *interim += 1;
                if *interim > MAX_INTERIM {
                    return Err(HttpError::Malformed("interim answers without end"));
                }
            }
        }
    }
}

/// Reads an answer's head. Its beginning may be awaited for long; once it is there the rest must follow: guards
/// against a head that does not end and holds an RPC until its time is up.
pub async fn read_answer_head(
    buffer: &mut Buffer,
    from: &mut (impl AsyncRead + Unpin),
) -> Result<Head, HttpError> {
    let mut interim = 0;
    loop {
        if buffer.is_empty() {
            buffer.need(from).await?;
        }
        let begun = async {
            while !buffer.is_empty() {
                if let Some(head) = answer_head(buffer, &mut interim)? {
                    return Ok::<_, HttpError>(Some(head));
                }
                if !buffer.is_empty() {
                    buffer.need(from).await?;
                }
            }
            Ok(None)
        };
        if let Some(head) = timeout(PART, begun).await.map_err(|_| HttpError::Late)?? {
            return Ok(head);
        }
    }
}

/// Where a body's reading stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum At {
    Left(u64),
    ToEnd,
    Size,
    Chunk(u64),
    ChunkEnd,
    Trailer,
    Done,
}

/// Takes a body off the buffer, piece by piece.
#[derive(Clone, Copy, Debug)]
pub struct Body {
    at: At,
    whole_chunks: bool,
}

impl Body {
    /// At the body's start.
    pub fn new(framing: Framing) -> Body {
        Body {
            at: match framing {
                Framing::Length(0) => At::Done,
                Framing::Length(n) => At::Left(n),
                Framing::Chunked => At::Size,
                Framing::ToEnd => At::ToEnd,
            },
            whole_chunks: false,
        }
    }

    /// At the start of a stream's body, whose chunks are taken off whole and with a bounded size: guards against
    /// a spoilt chunk's noise that is passed on as events before its size proves wrong.
    pub fn stream(framing: Framing) -> Body {
        Body { whole_chunks: true, ..Body::new(framing) }
    }

    /// Whether a chunk, or what frames it, has begun to come and is not whole.
    pub fn midway(&self, buffer: &Buffer) -> bool {
        !buffer.is_empty() || !matches!(self.at, At::Size | At::Left(_) | At::ToEnd | At::Done)
    }

    /// Whether it was read whole.
    pub fn done(&self) -> bool {
        self.at == At::Done
    }

    /// The next bytes of it that are in the buffer, without framing; none until more has been read.
    pub fn take(&mut self, buffer: &mut Buffer) -> Result<Option<Bytes>, HttpError> {
        loop {
            let have = buffer.bytes().len();
            match self.at {
                At::Done => return Ok(None),
                _ if have == 0 => return Ok(None),
                At::ToEnd => return Ok(Some(buffer.copy_out(have))),
                At::Chunk(n) if self.whole_chunks => {
                    let n = n as usize;
                    if have < n + 2 {
                        return Ok(None);
                    }
                    if &buffer.bytes()[n..n + 2] != b"\r\n" {
                        return Err(HttpError::Malformed("a chunk's end"));
                    }
                    let bytes = buffer.copy_out(n);
                    buffer.skip(2);
                    self.at = At::Size;
                    return Ok(Some(bytes));
                }
                At::Left(n) | At::Chunk(n) => {
                    let part = (have as u64).min(n);
                    self.at = match self.at {
                        At::Left(_) if part == n => At::Done,
                        At::Left(_) => At::Left(n - part),
                        _ if part == n => At::ChunkEnd,
                        _ => At::Chunk(n - part),
                    };
                    return Ok(Some(buffer.copy_out(part as usize)));
                }
                At::Size => match httparse::parse_chunk_size(buffer.bytes()) {
                    Ok(httparse::Status::Complete((_, size))) if self.whole_chunks && size > MAX_CHUNK => {
                        return Err(HttpError::Malformed("a chunk's size is over the limit"));
                    }
                    Ok(httparse::Status::Complete((n, size))) => {
                        buffer.skip(n);
                        self.at = if size == 0 { At::Trailer } else { At::Chunk(size) };
                    }
                    Ok(httparse::Status::Partial) if have <= MAX_SIZE_LINE => return Ok(None),
                    _ => return Err(HttpError::Malformed("a chunk's size")),
                },
                At::ChunkEnd if have < 2 => return Ok(None),
                At::ChunkEnd if buffer.bytes().starts_with(b"\r\n") => {
                    buffer.skip(2);
                    self.at = At::Size;
                }
                At::ChunkEnd => return Err(HttpError::Malformed("a chunk's end")),
                At::Trailer => match buffer.bytes().iter().position(|&b| b == b'\n') {
                    Some(end) => {
                        let blank = buffer.bytes()[..end].iter().all(|&b| b == b'\r');
                        buffer.skip(end + 1);
                        if blank {
                            self.at = At::Done;
                        }
                    }
                    None if have <= MAX_SIZE_LINE => return Ok(None),
                    None => return Err(HttpError::Malformed("a trailer")),
                },
            }
        }
    }

    /// The next bytes of it, read as needed; none at its end. Cancel safe.
    pub async fn next(
        &mut self,
        buffer: &mut Buffer,
        from: &mut (impl AsyncRead + Unpin),
    ) -> Result<Option<Bytes>, HttpError> {
        loop {
            if let Some(bytes) = self.take(buffer)? {
                return Ok(Some(bytes));
            }
            if self.done() {
                return Ok(None);
            }
            if buffer.fill(from).await? == 0 {
                if self.at != At::ToEnd {
                    return Err(HttpError::Ended);
                }
                self.at = At::Done;
            }
        }
    }

    /// All of it, up to a limit.
    pub async fn whole(
        &mut self,
        buffer: &mut Buffer,
        from: &mut (impl AsyncRead + Unpin),
        most: usize,
    ) -> Result<Bytes, HttpError> {
        if let At::Left(n) = self.at
            && n > most as u64
        {
            return Err(HttpError::BodyTooLarge);
        }
        let mut all = BytesMut::new();
        while let Some(bytes) = self.next(buffer, from).await? {
            if all.len() + bytes.len() > most {
                return Err(HttpError::BodyTooLarge);
            }
            all.extend_from_slice(&bytes);
        }
        Ok(all.freeze())
    }
}

/// A header's value that is safe to write: no line of its own can be smuggled in.
pub fn plain(value: &str) -> bool {
    value.bytes().all(|b| b == b'\t' || (b >= 0x20 && b != 0x7f))
}
