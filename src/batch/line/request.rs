//! Parses a line of the input file, and turns it into a request to the core.

use std::time::{Duration, Instant};

use bytes::Bytes;
use serde::Deserialize;
use serde_json::{Map, Value};

use super::error::{LineError, MAX_CUSTOM_ID_BYTES};
use crate::api::ApiError;
use crate::core::{Payload, Request, RequestAttributes};
use crate::edge::ChatBody;
use crate::interface::stable_hash;
use crate::net::upstream::payload;

/// The token limit of an answer whose line sets none.
const DEFAULT_MAX_OUTPUT_TOKENS: u32 = 500;
/// Characters in a token, as the platform estimates them.
const CHARS_PER_TOKEN: usize = 4;

/// The prompt prefix that a line shares with others: its system message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SharedPrefix {
    /// The hash of its text.
    pub hash: u64,
    /// Its length in tokens, estimated.
    pub tokens: u32,
}

/// The request of a line.
#[derive(Clone, Debug)]
pub struct LineRequest {
    /// The length of the prompt in tokens, estimated from its text.
    pub prompt_tokens: u32,
    /// The prefix that it shares with other lines.
    pub shared_prefix: Option<SharedPrefix>,
    /// The most tokens that the answer can have.
    pub max_output_tokens: u32,
    /// The name of the model; null where the line names none.
    pub model: Value,
    /// The request that is sent to a model server without the edge.
    pub payload: Payload,
    /// The request for the edge, or why the edge can't take it.
    pub chat: Result<ChatBody, ApiError>,
}

#[derive(Deserialize)]
struct RawLine {
    custom_id: Option<Value>,
    method: Option<String>,
    url: Option<String>,
    body: Option<Value>,
}

/// The `custom_id` of a line, if one can be found, whether or not the line is valid.
pub fn find_custom_id(line: &[u8]) -> Option<String> {
    let value: Value = serde_json::from_slice(line).ok()?;
    value.get("custom_id")?.as_str().map(String::from)
}

impl LineRequest {
    /// Parses a line of a batch with this endpoint. `trace_id` is the id that model servers see.
    pub fn parse(line: &[u8], endpoint: &str, trace_id: &str) -> Result<LineRequest, LineError> {
        let raw: RawLine = serde_json::from_slice(line)
            .map_err(|error| LineError::InvalidJson(error.to_string()))?;
        let custom_id = raw.custom_id.as_ref().and_then(Value::as_str);
        if custom_id.is_none_or(|id| id.is_empty() || id.len() > MAX_CUSTOM_ID_BYTES) {
            return Err(LineError::MissingCustomId);
        }
        if raw.method.as_deref() != Some("POST") {
            return Err(LineError::InvalidMethod);
        }
        if raw.url.as_deref() != Some(endpoint) {
            return Err(LineError::InvalidUrl {
                endpoint: endpoint.into(),
            });
        }
        let Some(Value::Object(body)) = raw.body else {
            let message = "body must be an object";
            return Err(LineError::InvalidBody(message.into()));
        };
        LineRequest::from_body(body, endpoint, trace_id)
    }

    fn from_body(
        mut body: Map<String, Value>,
        endpoint: &str,
        trace_id: &str,
    ) -> Result<LineRequest, LineError> {
        let messages = body.get("messages").and_then(Value::as_array);
        let Some(messages) = messages.filter(|messages| !messages.is_empty()) else {
            let message = "body.messages must be a list of messages";
            return Err(LineError::InvalidBody(message.into()));
        };
        let prompt_chars = messages.iter().map(|m| message_text(m).chars().count());
        let prompt_tokens = estimate_tokens(prompt_chars.sum());
        let shared_prefix = shared_prefix(messages);
        let model = body.get("model").filter(|model| model.is_string());
        let model = model.cloned().unwrap_or_default();
        let max_output_tokens = max_output_tokens(&body);
        let chat = ChatBody::from_object(body.clone());
        // model servers answer in streams, of which the result file gets the complete answer
        body.insert("stream".into(), true.into());
        let body = Bytes::from(Value::Object(body).to_string());
        let payload = payload("POST", endpoint, Some(trace_id), Some(trace_id), body);
        Ok(LineRequest {
            prompt_tokens,
            shared_prefix,
            max_output_tokens,
            model,
            payload,
            chat,
        })
    }

    /// The request to the core, received now. A line that is submitted again has the same payload.
    pub fn to_core_request(&self, class: u32, timeout: Duration) -> Request {
        let attributes = RequestAttributes {
            class,
            tenant: 0,
            session: None,
            prefix: self.shared_prefix.map(|prefix| prefix.hash),
            prompt_tokens: self.prompt_tokens,
            shared_prefix_tokens: self.shared_prefix.map_or(0, |prefix| prefix.tokens),
            max_output_tokens: self.max_output_tokens,
            expected_work: Duration::ZERO,
            received_at: Instant::now(),
            timeout,
            client_retry: false,
            resumed: false,
            interactive: false,
            model: 0,
            prior_attempts: 0,
        };
        Request {
            attributes,
            payload: self.payload.clone(),
            client: None,
        }
    }
}

/// The prefix of a conversation: the text of a system message at its start.
fn shared_prefix(messages: &[Value]) -> Option<SharedPrefix> {
    let first = messages.first()?;
    if !matches!(first["role"].as_str(), Some("system" | "developer")) {
        return None;
    }
    let text = message_text(first);
    if text.is_empty() {
        return None;
    }
    Some(SharedPrefix {
        hash: stable_hash(&text),
        tokens: estimate_tokens(text.chars().count()),
    })
}

fn max_output_tokens(body: &Map<String, Value>) -> u32 {
    let limit = ["max_tokens", "max_completion_tokens"]
        .iter()
        .find_map(|name| body.get(*name)?.as_u64());
    limit.map_or(DEFAULT_MAX_OUTPUT_TOKENS, |tokens| {
        tokens.min(u32::MAX.into()) as u32
    })
}

fn estimate_tokens(chars: usize) -> u32 {
    chars.div_ceil(CHARS_PER_TOKEN).clamp(1, u32::MAX as usize) as u32
}

/// The text of a message, whose content is a string or a list of parts.
fn message_text(message: &Value) -> String {
    match &message["content"] {
        Value::String(text) => text.clone(),
        Value::Array(parts) => parts.iter().filter_map(|p| p["text"].as_str()).collect(),
        _ => String::new(),
    }
}
