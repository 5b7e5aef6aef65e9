//! The last bytes of a stream, which contain its usage report.

use bytes::BytesMut;

/// The number of bytes at the end of a stream that are searched. The last events are shorter.
const TAIL_BYTES: usize = 1024;
/// The JSON pointer to the number of cached prompt tokens in the usage report of an event.
const CACHED_TOKENS: &str = "/usage/prompt_tokens_details/cached_tokens";

/// At least the last [`TAIL_BYTES`] of a stream.
#[derive(Debug, Default)]
pub(super) struct StreamTail {
    bytes: BytesMut,
}

impl StreamTail {
    /// Adds bytes of the stream. Older bytes are dropped only at twice [`TAIL_BYTES`], so that few
    /// bytes are moved.
    pub(super) fn push(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
        if self.bytes.len() > 2 * TAIL_BYTES {
            self.bytes = BytesMut::from(&self.bytes[self.bytes.len() - TAIL_BYTES..]);
        }
    }

    /// The number of prompt tokens that the server found in its cache, if it reports the number.
    pub(super) fn cached_tokens(&self) -> Option<u32> {
        let text = String::from_utf8_lossy(&self.bytes);
        text.rsplit('\n')
            .filter_map(|line| line.trim_end().strip_prefix("data:"))
            .filter(|event| event.contains("cached_tokens"))
            .find_map(cached_tokens)
    }
}

fn cached_tokens(event: &str) -> Option<u32> {
    let event: serde_json::Value = serde_json::from_str(event.trim()).ok()?;
    let tokens = event.pointer(CACHED_TOKENS)?.as_u64()?;
    u32::try_from(tokens).ok()
}
