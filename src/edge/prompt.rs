//! The prompt of a chat request: the text of its messages, its estimated tokens, and the prefix
//! that it shares with other requests.

use serde_json::Value;

use super::usage_meter::estimate_tokens;
use crate::interface::stable_hash;

/// The beginning of a prompt (the system or developer message) that other requests share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SharedPrefix {
    /// A hash of the prefix's text.
    pub hash: u64,
    /// The estimated number of tokens.
    pub tokens: u32,
}

/// The estimated number of tokens of a prompt's text; at least 1.
pub(crate) fn prompt_tokens(messages: &[Value]) -> u32 {
    token_count(messages.iter().map(text_chars).sum())
}

/// The shared prefix of a prompt: the text of a leading system or developer message; `None` if
/// there is no such text.
pub(crate) fn shared_prefix(messages: &[Value]) -> Option<SharedPrefix> {
    let first_message = messages.first()?;
    if !matches!(first_message["role"].as_str(), Some("system" | "developer")) {
        return None;
    }
    let text = text_parts(first_message).concat();
    (!text.is_empty()).then(|| SharedPrefix {
        hash: stable_hash(&text),
        tokens: token_count(text.chars().count()),
    })
}

/// The estimated number of tokens for a number of characters; at least 1.
fn token_count(chars: usize) -> u32 {
    u32::try_from(estimate_tokens(chars as u64))
        .unwrap_or(u32::MAX)
        .max(1)
}

/// The text of a message, whose content is a string or a list of parts.
fn text_parts(message: &Value) -> Vec<&str> {
    match &message["content"] {
        Value::String(text) => vec![text],
        Value::Array(parts) => parts
            .iter()
            .filter_map(|part| part["text"].as_str())
            .collect(),
        _ => Vec::new(),
    }
}

fn text_chars(message: &Value) -> usize {
    let parts = text_parts(message);
    parts.iter().map(|text| text.chars().count()).sum()
}
