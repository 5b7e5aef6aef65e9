//! The body of a chat request in the public OpenAI format: validation, and the body that is
//! forwarded to a model server.

use serde_json::value::RawValue;
use serde_json::{Value, json};

use super::prompt::{SharedPrefix, prompt_tokens, shared_prefix};
use super::raw_object::RawObject;
use crate::api::ApiError;
use crate::interface::stable_hash;

/// A validated chat request body, as the client sent it.
#[derive(Clone, Debug)]
pub struct ChatBody {
    /// The name or alias of the model.
    pub model: String,
    /// The number of prompt tokens, estimated from the length of the text.
    pub prompt_tokens: u32,
    /// The beginning of the prompt that is shared with other requests.
    pub shared_prefix: Option<SharedPrefix>,
    /// The client's limit for the output tokens.
    pub max_output_tokens: Option<u32>,
    /// Whether the client requested the answer as a stream of events.
    pub stream: bool,
    /// Whether the client requested a usage event at the end of the stream.
    pub include_usage: bool,
    /// A hash of the session's name, if the body has one.
    pub session: Option<u64>,
    /// The JSON object of the body.
    object: RawObject,
}

impl ChatBody {
    /// Parses and validates a request's body.
    pub fn parse(body: &[u8]) -> Result<ChatBody, ApiError> {
        let not_json = |error| ApiError::new(400, None, format!("the body is no JSON: {error}"));
        let text: &RawValue = serde_json::from_slice(body).map_err(not_json)?;
        match serde_json::from_str(text.get()) {
            Ok(object) => ChatBody::from_object(object),
            Err(_) => Err(ApiError::new(400, None, "the body must be a JSON object")),
        }
    }

    /// Validates a request's JSON object.
    pub(crate) fn from_object(object: RawObject) -> Result<ChatBody, ApiError> {
        let model = read_model(&object)?;
        let messages = read_messages(&object)?;
        check_choice_count(&object)?;
        let max_output_tokens = read_max_output_tokens(&object)?;
        let stream = read_flag(object.get("stream").as_ref(), "stream")?;
        let options = object.get("stream_options");
        let include_usage = options
            .as_ref()
            .and_then(|options| options.get("include_usage"));
        let include_usage = read_flag(include_usage, "stream_options")?;
        Ok(ChatBody {
            model,
            prompt_tokens: prompt_tokens(&messages),
            shared_prefix: shared_prefix(&messages),
            max_output_tokens,
            stream,
            include_usage,
            session: session(&object),
            object,
        })
    }

    /// The body for a model server: with the model's full name, the given output limit, and a
    /// request for a stream with a usage event at its end.
    pub fn forwarded_body(&self, model: &str, max_output_tokens: u32) -> Vec<u8> {
        let mut object = self.object.clone();
        object.insert("model", &model.into());
        object.insert("stream", &true.into());
        object.insert("stream_options", &json!({"include_usage": true}));
        object.remove("max_completion_tokens");
        object.insert("max_tokens", &max_output_tokens.into());
        object.to_bytes()
    }
}

fn invalid_value(param: &'static str, message: impl Into<String>) -> ApiError {
    ApiError::new(400, param, message).code("invalid_value")
}

fn read_model(object: &RawObject) -> Result<String, ApiError> {
    match object.get("model") {
        Some(Value::String(name)) if !name.is_empty() => Ok(name),
        Some(_) => Err(invalid_value("model", "model must be a name")),
        None => {
            let error = ApiError::new(400, "model", "model is missing");
            Err(error.code("missing_required_parameter"))
        }
    }
}

fn read_messages(object: &RawObject) -> Result<Vec<Value>, ApiError> {
    let messages = match object.get("messages") {
        Some(Value::Array(messages)) => messages,
        _ => Vec::new(),
    };
    if messages.is_empty() {
        let message = "messages must be a list of messages";
        return Err(invalid_value("messages", message));
    }
    if !messages.iter().all(|message| message["role"].is_string()) {
        return Err(invalid_value("messages", "each message needs a role"));
    }
    Ok(messages)
}

fn check_choice_count(object: &RawObject) -> Result<(), ApiError> {
    match object.get("n") {
        None | Some(Value::Null) => Ok(()),
        Some(count) if count.as_u64() == Some(1) => Ok(()),
        Some(_) => Err(invalid_value("n", "n must be 1: one answer to a request")),
    }
}

/// Reads the limit for the output tokens. If both parameters are given, both are validated, and
/// `max_completion_tokens` takes precedence over the older `max_tokens`.
fn read_max_output_tokens(object: &RawObject) -> Result<Option<u32>, ApiError> {
    let newer = read_limit(object, "max_completion_tokens")?;
    let older = read_limit(object, "max_tokens")?;
    Ok(newer.or(older))
}

fn read_limit(object: &RawObject, name: &'static str) -> Result<Option<u32>, ApiError> {
    let value = match object.get(name) {
        None | Some(Value::Null) => return Ok(None),
        Some(value) => value,
    };
    let limit = value.as_u64().and_then(|limit| u32::try_from(limit).ok());
    match limit {
        Some(limit) if limit > 0 => Ok(Some(limit)),
        _ => {
            let message = format!("{name} must be a whole number above 0");
            Err(invalid_value(name, message))
        }
    }
}

fn read_flag(value: Option<&Value>, name: &'static str) -> Result<bool, ApiError> {
    match value {
        None | Some(Value::Null) => Ok(false),
        Some(Value::Bool(flag)) => Ok(*flag),
        Some(_) => Err(invalid_value(name, format!("{name} must be true or false"))),
    }
}

/// A hash of the session's name: the prompt cache key or, if there is none, the user.
fn session(object: &RawObject) -> Option<u64> {
    ["prompt_cache_key", "user"]
        .iter()
        .find_map(|key| object.get(key)?.as_str().map(stable_hash))
}

#[cfg(test)]
mod tests;
