//! Builds a chat completion object from a streamed answer. The object is sent to clients that did
//! not request a stream, and is stored in the result file of a batch.

use std::collections::BTreeMap;

use serde_json::{Value, json};
use thiserror::Error;

/// The maximum size of a stream that is collected, since the stream is held in memory.
const MAX_STREAM_BYTES: usize = 1 << 20;

/// Why no completion could be built from a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum CompletionError {
    /// The stream is longer than the limit.
    #[error("the answer is too long")]
    TooLong,
    /// The data of an event is not JSON.
    #[error("an event of the answer is no JSON")]
    InvalidEvent,
    /// The stream ended before its first event.
    #[error("the answer held no event")]
    Empty,
}

/// The values of a completion's fields that the stream does not contain.
#[derive(Clone, Copy, Debug)]
pub struct CompletionDefaults<'a> {
    /// The request's trace id, from which the completion's id is derived.
    pub trace_id: &'a str,
    /// When the completion was created, in seconds of Unix time.
    pub created_at: u64,
    /// The model that was requested.
    pub model: &'a Value,
}

#[derive(Default)]
struct Choice {
    content: String,
    finish_reason: Value,
}

/// Builds a completion from the events of a stream.
#[derive(Default)]
pub struct CompletionBuilder {
    /// The bytes received so far of a line that is not yet complete.
    partial_line: Vec<u8>,
    received_bytes: usize,
    first_event: Option<Value>,
    choices: BTreeMap<u64, Choice>,
    usage: Option<Value>,
    /// The most recent error.
    error: Option<CompletionError>,
}

impl CompletionBuilder {
    /// Adds the next bytes of the stream.
    pub fn add(&mut self, bytes: &[u8]) {
        self.received_bytes += bytes.len();
        if self.received_bytes > MAX_STREAM_BYTES {
            self.error = Some(CompletionError::TooLong);
            return;
        }
        self.partial_line.extend_from_slice(bytes);
        let Some(end) = self.partial_line.iter().rposition(|&byte| byte == b'\n') else {
            return;
        };
        let partial_line = self.partial_line.split_off(end + 1);
        let lines = std::mem::replace(&mut self.partial_line, partial_line);
        for line in lines.split(|&byte| byte == b'\n') {
            self.add_line(line);
        }
    }

    fn add_line(&mut self, line: &[u8]) {
        let line = line.trim_ascii();
        let Some(data) = line.strip_prefix(b"data:").map(<[u8]>::trim_ascii) else {
            return;
        };
        if data == b"[DONE]" {
            return;
        }
        let Ok(event) = serde_json::from_slice::<Value>(data) else {
            self.error = Some(CompletionError::InvalidEvent);
            return;
        };
        for delta in event["choices"].as_array().into_iter().flatten() {
            self.add_delta(delta);
        }
        if event["usage"].is_object() {
            self.usage = Some(event["usage"].clone());
        }
        self.first_event.get_or_insert(event);
    }

    fn add_delta(&mut self, delta: &Value) {
        let index = delta["index"].as_u64().unwrap_or(0);
        let choice = self.choices.entry(index).or_default();
        let content = delta["delta"]["content"].as_str();
        choice.content.push_str(content.unwrap_or_default());
        if !delta["finish_reason"].is_null() {
            choice.finish_reason = delta["finish_reason"].clone();
        }
    }

    /// Returns the completion after the stream has ended. If the first event contains no model
    /// name, the completion contains the model from `defaults`.
    pub fn finish(mut self, defaults: CompletionDefaults<'_>) -> Result<Value, CompletionError> {
        let last_line = std::mem::take(&mut self.partial_line);
        self.add_line(&last_line);
        if let Some(error) = self.error {
            return Err(error);
        }
        let first = self.first_event.ok_or(CompletionError::Empty)?;
        let id = match first["id"].as_str() {
            Some(id) => id.to_string(),
            None => format!("chatcmpl-{}", defaults.trace_id),
        };
        let model = if first["model"].is_string() {
            &first["model"]
        } else {
            defaults.model
        };
        let choices: Vec<Value> = self
            .choices
            .into_iter()
            .map(|(index, choice)| choice.to_object(index))
            .collect();
        Ok(json!({
            "id": id,
            "object": "chat.completion",
            "created": first["created"].as_u64().unwrap_or(defaults.created_at),
            "model": model,
            "choices": choices,
            "usage": self.usage,
        }))
    }
}

impl Choice {
    fn to_object(&self, index: u64) -> Value {
        let message = json!({"role": "assistant", "content": self.content});
        json!({"index": index, "message": message, "finish_reason": self.finish_reason})
    }
}

#[cfg(test)]
mod tests;
