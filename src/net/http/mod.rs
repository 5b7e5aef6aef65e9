//! HTTP/1.1 as both sides of the router need it: heads, and bodies by length, in chunks or to the
//! connection's end, each read through the connection's one buffer and within limits.
//!
//! Owns no connection and writes nothing; which messages are sent is the callers' business.

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
pub use chunks::{LAST_CHUNK, put_chunk};
pub use error::{ErrorStatus, HttpError};
pub use events::FirstEventDetector;
pub use head::{Framing, Head};
pub use parse::{request_head_length, take_request_head};
pub use response::{CompleteResponse, read_response, read_response_head};

/// The largest body of a request, in bytes.
pub const MAX_BODY_BYTES: usize = 256 << 10;
/// The largest head, in bytes.
pub const MAX_HEAD_BYTES: usize = 32 << 10;
/// The most headers of a message.
const MAX_HEADERS: usize = 96;
/// The longest size line of a chunk, and the longest line of a trailer, in bytes.
const MAX_CHUNK_LINE_BYTES: usize = 4 << 10;
/// The largest chunk of a stream, in bytes: a chunk is buffered until it is complete.
pub const MAX_CHUNK_BYTES: u64 = 256 << 10;
/// The most interim responses (1xx) ahead of a response.
const MAX_INTERIM_RESPONSES: usize = 32;
/// How long the rest of a server's head or chunk may take once its first byte has arrived.
pub const PARTIAL_MESSAGE_TIMEOUT: Duration = Duration::from_millis(750);

/// Whether a value can be written into a header or a request line: it has no line breaks, so no
/// header can be smuggled in.
pub fn is_safe_header_value(value: &str) -> bool {
    value
        .bytes()
        .all(|byte| byte == b'\t' || (byte >= 0x20 && byte != 0x7f))
}
