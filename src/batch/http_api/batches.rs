//! `/v1/batches`: creates, lists, describes and cancels batches.

use std::time::Duration;

use serde_json::Value;

use super::errors::RequestError;
use super::idempotency::Claim;
use super::pagination::page;
use super::response::Response;
use super::routes::method_not_allowed;
use super::session::Session;
use crate::api::{ApiError, Reply};
use crate::batch::jobs::{CompletionWindow, JobError, NewBatch};
use crate::net::http::{Body, Head};

/// The maximum number of entries in a batch's metadata.
const MAX_METADATA_ENTRIES: usize = 16;
/// The maximum length of a key of a batch's metadata, in bytes.
const MAX_METADATA_KEY_BYTES: usize = 64;
/// The maximum length of the JSON text of a metadata value, in bytes. The metadata is kept in memory
/// as long as the batch is.
const MAX_METADATA_VALUE_BYTES: usize = 2 << 10;

impl Session {
    /// Handles a request for batches. `path`: the segments after `/v1/batches`.
    pub(super) async fn route_batches(
        &mut self,
        head: &Head,
        body: &mut Body,
        path: &[&str],
    ) -> Result<Response, RequestError> {
        let context = self.context.clone();
        let jobs = &context.jobs;
        let object = match (head.method.as_str(), path) {
            ("POST", []) => self.create_batch(head, body).await?,
            ("GET", []) => page(head, jobs.list(&self.caller))?,
            ("GET", [id]) => jobs.get(id, &self.caller)?,
            ("POST", [id, "cancel"]) => {
                self.receive_body(head, body).await?;
                jobs.cancel(id, &self.caller)?
            }
            _ => return Err(method_not_allowed().into()),
        };
        Ok(Reply::json(object).into())
    }

    async fn create_batch(&mut self, head: &Head, body: &mut Body) -> Result<Value, RequestError> {
        let received = self.receive_body(head, body).await?.bytes;
        let request: Value = serde_json::from_slice(&received)
            .map_err(|e| ApiError::new(400, None, format!("the body is no JSON: {e}")))?;
        let new_batch = self.parse_batch(&request)?;
        // a file that belongs to another caller counts as unknown
        self.visible_file(&new_batch.input_file)
            .map_err(JobError::File)?;
        let context = self.context.clone();
        let Some(key) = self.idempotency_key(head, "batch") else {
            return Ok(context.jobs.create(new_batch).await?);
        };
        let keys = &context.idempotency_keys;
        if let Claim::Created(id) = keys.claim(&key, &received)? {
            return Ok(context.jobs.get(&id, &self.caller)?);
        }
        let created = context.jobs.create(new_batch).await;
        let object = created.as_ref().ok();
        keys.complete(&key, object.and_then(|object| object["id"].as_str()));
        Ok(created?)
    }

    fn parse_batch(&self, request: &Value) -> Result<NewBatch, ApiError> {
        let input_file = required_text(request, "input_file_id")?;
        let endpoint = required_text(request, "endpoint")?;
        let completion_window = required_text(request, "completion_window")?;
        if !self.context.endpoints.contains(&endpoint) {
            let known = self.context.endpoints.join(", ");
            let message = format!("endpoint must be one of {known}");
            return Err(ApiError::new(400, "endpoint", message));
        }
        Ok(NewBatch {
            input_file,
            endpoint,
            completion_window: self.parse_completion_window(completion_window)?,
            metadata: parse_metadata(request)?,
            owner: self.caller.clone(),
        })
    }

    fn parse_completion_window(&self, text: String) -> Result<CompletionWindow, ApiError> {
        let max = self.context.max_completion_window;
        match parse_duration(&text) {
            Some(duration) if duration <= max && !duration.is_zero() => {
                Ok(CompletionWindow { text, duration })
            }
            _ => Err(ApiError::new(
                400,
                "completion_window",
                "completion_window must be a time such as 24h or 30m, within the limit",
            )),
        }
    }
}

fn required_text(request: &Value, name: &'static str) -> Result<String, ApiError> {
    match request[name].as_str() {
        Some(text) => Ok(text.to_string()),
        None => Err(ApiError::new(400, name, format!("{name} must be text"))),
    }
}

fn parse_metadata(request: &Value) -> Result<Value, ApiError> {
    let metadata = &request["metadata"];
    let is_valid = match metadata {
        Value::Null => true,
        Value::Object(entries) => {
            let are_short = entries
                .iter()
                .all(|(key, value)| is_short_entry(key, value));
            entries.len() <= MAX_METADATA_ENTRIES && are_short
        }
        _ => false,
    };
    if is_valid {
        return Ok(metadata.clone());
    }
    Err(ApiError::new(
        400,
        "metadata",
        format!(
            "metadata must be an object of {MAX_METADATA_ENTRIES} entries at most, with keys of \
             {MAX_METADATA_KEY_BYTES} and values of {MAX_METADATA_VALUE_BYTES} bytes at most"
        ),
    ))
}

fn is_short_entry(key: &str, value: &Value) -> bool {
    key.len() <= MAX_METADATA_KEY_BYTES && value.to_string().len() <= MAX_METADATA_VALUE_BYTES
}

/// Parses a duration such as `24h`, `30m`, `90s` or `7d`.
fn parse_duration(text: &str) -> Option<Duration> {
    let unit = text.chars().last()?;
    let unit_seconds = match unit {
        's' => 1,
        'm' => 60,
        'h' => 3600,
        'd' => 86_400,
        _ => return None,
    };
    let count: u64 = text.strip_suffix(unit)?.parse().ok()?;
    Some(Duration::from_secs(count.checked_mul(unit_seconds)?))
}
