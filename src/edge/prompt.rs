//! The prompt of a chat request: the text of its messages, its estimated length, and the opening
//! that it shares with other requests.

use serde_json::Value;

use super::usage_meter::estimate_tokens;
use crate::interface::stable_hash;

/// The opening of a prompt (the system or developer message) that other requests share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SharedPrefix {
    /// A hash of its text.
    pub hash: u64,
    /// Its estimated tokens.
    pub tokens: u32,
}

/// The estimated tokens of a conversation's text; at least 1.
pub(crate) fn prompt_tokens(messages: &[Value]) -> u32 {
    token_count(messages.iter().map(text_chars).sum())
}

/// The shared prefix of a conversation: the text of a system message at its start, if it has any.
pub(crate) fn shared_prefix(messages: &[Value]) -> Option<SharedPrefix> {
    let opening = messages.first()?;
    if !matches!(opening["role"].as_str(), Some("system" | "developer")) {
        return None;
    }
    let text = text_parts(opening).concat();
    (!text.is_empty()).then(|| SharedPrefix {
        hash: stable_hash(&text),
        tokens: token_count(text.chars().count()),
    })
}

/// The estimated tokens of so many characters; at least 1.
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
