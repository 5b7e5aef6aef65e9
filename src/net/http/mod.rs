//! HTTP/1.1 messages for both sides of the router: parsing of heads, and decoding of bodies framed
//! by a length, by chunks or by the end of the connection. All reads go through the connection's
//! single buffer and have size limits.
//!
//! This module owns no connection and writes nothing; the callers decide which messages are sent.

mod body;
mod buffer;
mod chunks;
mod error;
mod events;
mod head;
mod parse;
mod response;

use std::time::Duration;

pub use body::Body;
pub use buffer::Buffer;
pub use chunks::{CHUNK_END, LAST_CHUNK, put_chunk, put_chunk_size};
pub use error::{ErrorStatus, HttpError};
pub use events::{EventScanner, EventSearch};
pub use head::{Framing, Head};
pub use parse::{request_head_length, take_request_head};
pub use response::{Response, read_response, read_response_head};

/// The maximum size of a request body, in bytes.
pub const MAX_BODY_BYTES: usize = 256 << 10;
/// The maximum size of a head, in bytes.
pub const MAX_HEAD_BYTES: usize = 32 << 10;
/// The maximum number of headers in a message.
const MAX_HEADERS: usize = 96;
/// The maximum length of a chunk's size line and of a trailer line, in bytes.
const MAX_CHUNK_LINE_BYTES: usize = 4 << 10;
/// The maximum size of a chunk in a stream, in bytes. A chunk is buffered until it is complete.
pub const MAX_CHUNK_BYTES: u64 = 256 << 10;
/// The maximum number of interim responses (1xx) before the final response.
const MAX_INTERIM_RESPONSES: usize = 32;
/// The maximum time without further bytes of a server's response head, or of its body before the
/// first event.
pub const PARTIAL_MESSAGE_TIMEOUT: Duration = Duration::from_millis(750);

/// Whether a value can be written safely into a header or a request line. Control characters other
/// than tab are not allowed: a line break would let a client inject headers.
pub fn is_safe_header_value(value: &str) -> bool {
    value
        .bytes()
        .all(|byte| byte == b'\t' || (byte >= 0x20 && byte != 0x7f))
}
