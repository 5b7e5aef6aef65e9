//! Parses a line of the input file and converts it into a request.

use std::time::{Duration, Instant};

use bytes::Bytes;
use serde::Deserialize;
use serde_json::Value;
use serde_json::value::RawValue;

use super::error::{LineError, MAX_CUSTOM_ID_BYTES};
use crate::api::ApiError;
use crate::core::{Payload, Request, RequestAttributes};
use crate::edge::{ChatBody, RawObject, SharedPrefix, prompt_tokens, shared_prefix};
use crate::net::upstream::UpstreamRequest;

/// The maximum number of output tokens if the line sets no limit.
const DEFAULT_MAX_OUTPUT_TOKENS: u32 = 500;

/// The request of a line.
#[derive(Clone, Debug)]
pub struct LineRequest {
    /// The length of the prompt in tokens, estimated from its text.
    pub prompt_tokens: u32,
    /// The prefix that the prompt shares with other lines.
    pub shared_prefix: Option<SharedPrefix>,
    /// The maximum number of tokens in the answer.
    pub max_output_tokens: u32,
    /// The name of the model; null if the line names none.
    pub model: Value,
    /// The request that is sent to a model server if the edge is disabled.
    pub payload: Payload,
    /// The request to the edge, or the error that makes it invalid.
    pub chat: Result<ChatBody, ApiError>,
}

#[derive(Deserialize)]
struct RawLine {
    custom_id: Option<Value>,
    method: Option<String>,
    url: Option<String>,
    body: Option<Box<RawValue>>,
}

/// Finds the `custom_id` of a line, even if other parts of the line are invalid.
pub fn find_custom_id(line: &[u8]) -> Option<String> {
    let value: Value = serde_json::from_slice(line).ok()?;
    value.get("custom_id")?.as_str().map(String::from)
}

impl LineRequest {
    /// Parses a line of a batch with this endpoint. `trace_id` is the id that is sent to model
    /// servers.
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
        let body = raw
            .body
            .and_then(|text| serde_json::from_str(text.get()).ok());
        let body = body.ok_or_else(|| LineError::InvalidBody("body must be an object".into()))?;
        LineRequest::from_body(body, endpoint, trace_id)
    }

    fn from_body(
        mut body: RawObject,
        endpoint: &str,
        trace_id: &str,
    ) -> Result<LineRequest, LineError> {
        let messages = match body.get("messages") {
            Some(Value::Array(messages)) if !messages.is_empty() => messages,
            _ => {
                let message = "body.messages must be a list of messages";
                return Err(LineError::InvalidBody(message.into()));
            }
        };
        let prompt_tokens = prompt_tokens(&messages);
        let shared_prefix = shared_prefix(&messages);
        drop(messages);
        let model = body.get("model").filter(|model| model.is_string());
        let model = model.unwrap_or_default();
        let max_output_tokens = max_output_tokens(&body);
        let chat = ChatBody::from_object(body.clone());
        // the answer is requested as a stream; the result file gets the complete answer
        body.insert("stream", &true.into());
        let upstream_request = UpstreamRequest {
            method: "POST",
            target: endpoint,
            trace_id: Some(trace_id),
            idempotency_key: Some(trace_id),
            body: Bytes::from(body.to_bytes()),
        };
        Ok(LineRequest {
            prompt_tokens,
            shared_prefix,
            max_output_tokens,
            model,
            payload: upstream_request.into_payload(),
            chat,
        })
    }

    /// Creates the request to the core, with the current time as its time of receipt. All
    /// submissions of a line have the same payload.
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

fn max_output_tokens(body: &RawObject) -> u32 {
    let limit = ["max_tokens", "max_completion_tokens"]
        .iter()
        .find_map(|name| body.get(name)?.as_u64());
    limit.map_or(DEFAULT_MAX_OUTPUT_TOKENS, |tokens| {
        tokens.min(u32::MAX.into()) as u32
    })
}
