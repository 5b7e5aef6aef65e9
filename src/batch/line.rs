//! One line of a batch file: what is asked, and what came of it.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use bytes::Bytes;
use serde::Deserialize;
use serde_json::{Value, json};

use crate::api::ApiError;
use crate::core::{Payload, Request, RequestAttributes};
use crate::edge::ChatBody;
use crate::net::upstream::payload;
use crate::wire::replica_id;

/// A `custom_id` holds so much at most.
const MAX_ID: usize = 512;
/// An answer's text holds so much at most.
pub const MAX_ANSWER: usize = 1 << 20;
/// The most tokens of an answer whose line sets no limit.
const CAP: u32 = 500;
/// Characters in a token, as the platform counts.
const TOKEN: usize = 4;

/// Why a line has no answer: its code and a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LineError {
    /// For programs.
    pub code: &'static str,
    /// For people.
    pub message: String,
}

impl LineError {
    /// An error with a code.
    pub fn new(code: &'static str, message: impl Into<String>) -> LineError {
        LineError {
            code,
            message: message.into(),
        }
    }
}

/// What a line asks for.
#[derive(Clone, Debug)]
pub struct Ask {
    /// The client's name for it.
    pub custom_id: String,
    /// Prompt tokens, by the length of its text.
    pub prompt: u32,
    /// The opening that it shares with other lines, and its tokens.
    pub prefix: Option<(u64, u32)>,
    /// The most tokens that the answer can have.
    pub cap: u32,
    /// The model asked for; null where the line names none.
    pub model: Value,
    /// What is sent.
    pub payload: Payload,
    /// The same for the edge, or why it can't be taken there.
    pub chat: Result<ChatBody, ApiError>,
}

#[derive(Deserialize)]
struct RawLine {
    custom_id: Option<Value>,
    method: Option<String>,
    url: Option<String>,
    body: Option<Value>,
}

/// A line's `custom_id`, where it can be made out at all.
pub fn custom_id(line: &[u8]) -> Option<String> {
    let value: Value = serde_json::from_slice(line).ok()?;
    value.get("custom_id")?.as_str().map(String::from)
}

/// Reads a line for a batch of this endpoint.
pub fn read(line: &[u8], endpoint: &str, trace: &str) -> Result<Ask, LineError> {
    let raw: RawLine = serde_json::from_slice(line).map_err(|e| {
        LineError::new(
            "invalid_json_line",
            format!("not a JSON object of a request: {e}"),
        )
    })?;
    let custom_id = match raw.custom_id.as_ref().and_then(Value::as_str) {
        Some(id) if !id.is_empty() && id.len() <= MAX_ID => id.to_string(),
        _ => {
            let message = format!("custom_id must be text of 1 to {MAX_ID} bytes");
            return Err(LineError::new("missing_custom_id", message));
        }
    };
    if raw.method.as_deref() != Some("POST") {
        return Err(LineError::new("invalid_method", "method must be POST"));
    }
    if raw.url.as_deref() != Some(endpoint) {
        return Err(LineError::new(
            "invalid_url",
            format!("url must be the batch's endpoint, {endpoint}"),
        ));
    }
    let Some(Value::Object(mut body)) = raw.body else {
        return Err(LineError::new("invalid_body", "body must be an object"));
    };
    let Some(messages) = body
        .get("messages")
        .and_then(Value::as_array)
        .filter(|m| !m.is_empty())
    else {
        return Err(LineError::new(
            "invalid_body",
            "body.messages must be a list of messages",
        ));
    };
    let tokens = |chars: usize| chars.div_ceil(TOKEN).clamp(1, u32::MAX as usize) as u32;
    let prompt = tokens(messages.iter().map(|m| text_of(m).chars().count()).sum());
    let opening = messages
        .first()
        .filter(|m| matches!(m["role"].as_str(), Some("system" | "developer")));
    let prefix = opening.map(text_of).filter(|t| !t.is_empty());
    let prefix = prefix.map(|t| (replica_id(&t).0, tokens(t.chars().count())));
    let cap = ["max_tokens", "max_completion_tokens"]
        .iter()
        .find_map(|k| body.get(*k)?.as_u64());
    let cap = cap.map_or(CAP, |n| n.min(u32::MAX.into()) as u32);
    let model = body
        .get("model")
        .filter(|m| m.is_string())
        .cloned()
        .unwrap_or_default();
    let chat = ChatBody::from_object(body.clone());
    // model servers answer in streams; the result file gets the whole
    body.insert("stream".into(), true.into());
    let text = Value::Object(body).to_string();
    let payload = payload(
        "POST",
        endpoint,
        Some(trace),
        Some(trace),
        Bytes::from(text),
    );
    Ok(Ask {
        custom_id,
        prompt,
        prefix,
        cap,
        model,
        payload,
        chat,
    })
}

/// The text of a message, whose content is a string or a list of parts.
fn text_of(message: &Value) -> String {
    match &message["content"] {
        Value::String(text) => text.clone(),
        Value::Array(parts) => parts.iter().filter_map(|p| p["text"].as_str()).collect(),
        _ => String::new(),
    }
}

impl Ask {
    /// The RPC that a submission of this line is: fresh attributes, the same payload.
    pub fn rpc(&self, class: u32, patience: Duration) -> Request {
        let attributes = RequestAttributes {
            class,
            tenant: 0,
            session: None,
            prefix: self.prefix.map(|p| p.0),
            prompt_tokens: self.prompt,
            shared_prefix_tokens: self.prefix.map_or(0, |p| p.1),
            max_output_tokens: self.cap,
            expected_work: Duration::ZERO,
            received_at: Instant::now(),
            timeout: patience,
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

/// Puts an answer's events together to the object that an unstreamed answer would be.
#[derive(Default)]
pub struct Assembly {
    rest: Vec<u8>,
    size: usize,
    first: Option<Value>,
    choices: BTreeMap<u64, (String, Value)>,
    usage: Option<Value>,
    bad: Option<&'static str>,
}

impl Assembly {
    /// Takes in the answer's next bytes.
    pub fn add(&mut self, bytes: &[u8]) {
        self.size += bytes.len();
        if self.size > MAX_ANSWER {
            self.bad = Some("the answer is too long");
            return;
        }
        self.rest.extend_from_slice(bytes);
        let Some(end) = self.rest.iter().rposition(|&b| b == b'\n') else {
            return;
        };
        let rest = self.rest.split_off(end + 1);
        let lines = std::mem::replace(&mut self.rest, rest);
        for line in lines.split(|&b| b == b'\n') {
            self.line(line);
        }
    }

    fn line(&mut self, line: &[u8]) {
        let line = line.trim_ascii();
        let Some(data) = line.strip_prefix(b"data:").map(<[u8]>::trim_ascii) else {
            return;
        };
        if data == b"[DONE]" {
            return;
        }
        let Ok(event) = serde_json::from_slice::<Value>(data) else {
            self.bad = Some("an event of the answer is no JSON");
            return;
        };
        for choice in event["choices"].as_array().into_iter().flatten() {
            let at = choice["index"].as_u64().unwrap_or(0);
            let (text, finish) = self.choices.entry(at).or_default();
            text.push_str(choice["delta"]["content"].as_str().unwrap_or_default());
            if !choice["finish_reason"].is_null() {
                *finish = choice["finish_reason"].clone();
            }
        }
        if event["usage"].is_object() {
            self.usage = Some(event["usage"].clone());
        }
        self.first.get_or_insert(event);
    }

    /// The answer, now that it is whole. Guards against a result without a model: a server that
    /// doesn't name the one that answered leaves the line's `asked`.
    pub fn finish(mut self, trace: &str, created: u64, asked: &Value) -> Result<Value, LineError> {
        let last = std::mem::take(&mut self.rest);
        self.line(&last);
        if let Some(what) = self.bad {
            return Err(LineError::new("invalid_answer", what));
        }
        let first = self
            .first
            .ok_or(LineError::new("invalid_answer", "the answer held no event"))?;
        let choices: Vec<Value> = self
            .choices
            .into_iter()
            .map(|(index, (content, finish))| {
                let message = json!({"role": "assistant", "content": content});
                json!({"index": index, "message": message, "finish_reason": finish})
            })
            .collect();
        let id = first["id"]
            .as_str()
            .map_or_else(|| format!("chatcmpl-{trace}"), String::from);
        Ok(json!({
            "id": id, "object": "chat.completion", "created": first["created"].as_u64().unwrap_or(created),
            "model": if first["model"].is_string() { &first["model"] } else { asked }, "choices": choices, "usage": self.usage,
        }))
    }
}

/// The line of the result file.
pub fn outcome(
    id: &str,
    number: u64,
    custom_id: Option<&str>,
    trace: &str,
    came: &Result<Value, LineError>,
) -> String {
    let (response, error) = match came {
        Ok(body) => (
            json!({"status_code": 200, "request_id": trace, "body": body}),
            Value::Null,
        ),
        Err(e) => (Value::Null, json!({"code": e.code, "message": e.message})),
    };
    let line = json!({"id": id, "line": number, "custom_id": custom_id, "response": response, "error": error});
    format!("{line}\n")
}

#[cfg(test)]
mod tests;
