//! A chat request in the public OpenAI form: what it asks for, and the body that goes on to a model
//! server.

use serde_json::{Map, Value};

use super::meter;
use crate::api::ApiError;
use crate::interface::stable_hash;

/// A message of a conversation, measured.
#[derive(Clone, Debug, PartialEq)]
pub struct Chat {
    /// The model's name or alias.
    pub model: String,
    /// Prompt tokens, by the length of its text.
    pub prompt: u32,
    /// The opening that it shares with other requests, and its tokens.
    pub prefix: Option<(u64, u32)>,
    /// The most tokens of the answer, where told.
    pub cap: Option<u32>,
    /// The answer is to stream.
    pub stream: bool,
    /// The client wants the usage event.
    pub usage: bool,
    /// What names the conversation, where told.
    pub session: Option<u64>,
    body: Map<String, Value>,
}

fn bad(param: &'static str, message: impl Into<String>) -> ApiError {
    ApiError::new(400, param, message).code("invalid_value")
}

impl Chat {
    /// Reads a request's body.
    pub fn read(body: &[u8]) -> Result<Chat, ApiError> {
        let value: Value = serde_json::from_slice(body)
            .map_err(|e| ApiError::new(400, None, format!("the body is no JSON: {e}")))?;
        match value {
            Value::Object(body) => Chat::of(body),
            _ => Err(ApiError::new(400, None, "the body must be a JSON object")),
        }
    }

    /// Reads a request's object.
    pub fn of(body: Map<String, Value>) -> Result<Chat, ApiError> {
        let model = match body.get("model") {
            Some(Value::String(name)) if !name.is_empty() => name.clone(),
            None => {
                return Err(ApiError::new(400, "model", "model is missing")
                    .code("missing_required_parameter"));
            }
            Some(_) => return Err(bad("model", "model must be a name")),
        };
        let messages = body
            .get("messages")
            .and_then(Value::as_array)
            .filter(|m| !m.is_empty());
        let Some(messages) = messages else {
            return Err(bad("messages", "messages must be a list of messages"));
        };
        if !messages.iter().all(|m| m["role"].is_string()) {
            return Err(bad("messages", "each message needs a role"));
        }
        if body
            .get("n")
            .is_some_and(|n| !n.is_null() && n.as_u64() != Some(1))
        {
            return Err(bad("n", "n must be 1: one answer to a request"));
        }
        let mut cap = None;
        for name in ["max_completion_tokens", "max_tokens"] {
            match body.get(name) {
                None | Some(Value::Null) => {}
                Some(n) => match n
                    .as_u64()
                    .and_then(|n| u32::try_from(n).ok())
                    .filter(|&n| n > 0)
                {
                    Some(n) => cap = cap.or(Some(n)),
                    None => {
                        return Err(bad(name, format!("{name} must be a whole number above 0")));
                    }
                },
            }
        }
        let flag = |value: Option<&Value>, name: &'static str| match value {
            None | Some(Value::Null) => Ok(false),
            Some(Value::Bool(b)) => Ok(*b),
            Some(_) => Err(bad(name, format!("{name} must be true or false"))),
        };
        let stream = flag(body.get("stream"), "stream")?;
        let options = body
            .get("stream_options")
            .and_then(|o| o.get("include_usage"));
        let usage = flag(options, "stream_options")?;
        let prompt = size(messages.iter().map(chars).sum());
        let opening = messages
            .first()
            .filter(|m| matches!(m["role"].as_str(), Some("system" | "developer")));
        let opening = opening.map(text).filter(|t| !t.is_empty());
        let prefix = opening.map(|t| (stable_hash(&t), size(t.chars().count())));
        let session = ["prompt_cache_key", "user"]
            .iter()
            .find_map(|k| body.get(*k)?.as_str());
        let session = session.map(stable_hash);
        Ok(Chat {
            model,
            prompt,
            prefix,
            cap,
            stream,
            usage,
            session,
            body,
        })
    }

    /// The body for a model server: its name of the model, a limit that its window holds, and a
    /// stream with the usage at its end.
    pub fn body_for(&self, model: &str, cap: u32) -> Vec<u8> {
        let mut body = self.body.clone();
        body.insert("model".into(), model.into());
        body.insert("stream".into(), true.into());
        body.insert(
            "stream_options".into(),
            serde_json::json!({"include_usage": true}),
        );
        body.remove("max_completion_tokens");
        body.insert("max_tokens".into(), cap.into());
        Value::Object(body).to_string().into_bytes()
    }
}

fn size(chars: usize) -> u32 {
    u32::try_from(meter::tokens(chars as u64))
        .unwrap_or(u32::MAX)
        .max(1)
}

/// The text of a message, whose content is a string or a list of parts.
fn text(message: &Value) -> String {
    match &message["content"] {
        Value::String(text) => text.clone(),
        Value::Array(parts) => parts.iter().filter_map(|p| p["text"].as_str()).collect(),
        _ => String::new(),
    }
}

fn chars(message: &Value) -> usize {
    match &message["content"] {
        Value::String(text) => text.chars().count(),
        Value::Array(parts) => parts
            .iter()
            .filter_map(|p| p["text"].as_str())
            .map(|t| t.chars().count())
            .sum(),
        _ => 0,
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rstest::rstest;
    use serde_json::json;

    #[test]
    fn a_request_is_measured_and_rewritten() {
        let body = json!({"model": "mark", "max_completion_tokens": 900, "temperature": 0.5, "messages": [
            {"role": "system", "content": "be kind"},
            {"role": "user", "content": [{"type": "text", "text": "why?"}, {"type": "text", "text": " how?"}]}]});
        let chat = Chat::read(body.to_string().as_bytes()).unwrap();
        assert_eq!((chat.prompt, chat.cap, chat.stream), (4, Some(900), false));
        assert_eq!(chat.prefix.map(|p| p.1), Some(2));
        let sent: Value = serde_json::from_slice(&chat.body_for("marker-large", 500)).unwrap();
        assert_eq!(
            (&sent["model"], &sent["max_tokens"], &sent["temperature"]),
            (&json!("marker-large"), &json!(500), &json!(0.5))
        );
        assert_eq!(
            (&sent["stream"], sent.get("max_completion_tokens")),
            (&json!(true), None)
        );
    }

    #[rstest]
    #[case::no_json("{", None)]
    #[case::a_list("[]", None)]
    #[case::no_model(r#"{"messages":[{"role":"user","content":"x"}]}"#, Some("model"))]
    #[case::no_messages(r#"{"model":"m","messages":[]}"#, Some("messages"))]
    #[case::no_role(r#"{"model":"m","messages":[{}]}"#, Some("messages"))]
    #[case::two_answers(r#"{"model":"m","n":2,"messages":[{"role":"user"}]}"#, Some("n"))]
    #[case::below_zero(
        r#"{"model":"m","max_tokens":-1,"messages":[{"role":"user"}]}"#,
        Some("max_tokens")
    )]
    #[case::too_many(
        r#"{"model":"m","max_tokens":9223372036854775808,"messages":[{"role":"user"}]}"#,
        Some("max_tokens")
    )]
    #[case::no_flag(
        r#"{"model":"m","stream":"yes","messages":[{"role":"user"}]}"#,
        Some("stream")
    )]
    fn what_is_wrong_is_named(#[case] body: &str, #[case] param: Option<&str>) {
        let e = Chat::read(body.as_bytes()).unwrap_err();
        assert_eq!((e.status, e.param), (400, param));
    }
}
