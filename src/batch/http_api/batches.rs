//! Batches as they are ordered, and pages of lists.

use std::time::Duration;

use serde_json::{Value, json};

use crate::api::{ApiError, Reply};
use crate::batch::jobs::{CompletionWindow, JobError, NewBatch};
use crate::net::http::{Body, Head};

use super::{PAGE, RequestError, Session};

impl Session {
    /// `POST /v1/batches`.
    pub(super) async fn create_batch(
        &mut self,
        head: &Head,
        body: &mut Body,
    ) -> Result<Reply, RequestError> {
        let text = self.small(head, body).await?;
        let asked: Value = serde_json::from_slice(&text)
            .map_err(|e| ApiError::new(400, None, format!("the body is no JSON: {e}")))?;
        let order = self.order(&asked)?;
        // a file of another's is none
        self.file(&order.input_file).map_err(JobError::File)?;
        let key = self.key(head, "batch");
        if let Some(key) = &key
            && let Some(id) = self.front.keys.take(key, &text)?
        {
            return Ok(Reply::json(self.front.jobs.get(&id, &self.caller)?));
        }
        let made = self.front.jobs.create(order).await;
        if let Some(key) = &key {
            self.front
                .keys
                .made(key, made.as_ref().ok().and_then(|m| m["id"].as_str()));
        }
        Ok(Reply::json(made?))
    }

    pub(super) fn order(&self, asked: &Value) -> Result<NewBatch, ApiError> {
        let text = |name: &'static str| {
            let value = asked[name]
                .as_str()
                .ok_or_else(|| ApiError::new(400, name, format!("{name} must be text")));
            value.map(String::from)
        };
        let (input, endpoint, window) = (
            text("input_file_id")?,
            text("endpoint")?,
            text("completion_window")?,
        );
        if !self.front.endpoints.contains(&endpoint) {
            let known = self.front.endpoints.join(", ");
            return Err(ApiError::new(
                400,
                "endpoint",
                format!("endpoint must be one of {known}"),
            ));
        }
        let length = length(&window).filter(|l| *l <= self.front.longest && !l.is_zero());
        let length = length.ok_or_else(|| {
            ApiError::new(
                400,
                "completion_window",
                "completion_window must be a time such as 24h or 30m, within the limit",
            )
        })?;
        let metadata = asked["metadata"].clone();
        if !metadata.is_null() && metadata.as_object().is_none_or(|m| m.len() > 16) {
            return Err(ApiError::new(
                400,
                "metadata",
                "metadata must be an object of 16 entries at most",
            ));
        }
        Ok(NewBatch {
            input_file: input,
            endpoint,
            completion_window: CompletionWindow {
                text: window,
                duration: length,
            },
            metadata,
            owner: self.caller.clone(),
        })
    }
}

/// A page of a list: `limit` objects behind the one named by `after`.
pub(super) fn page(head: &Head, all: Vec<Value>) -> Result<Value, ApiError> {
    let query = head.target.split_once('?').map_or("", |(_, q)| q);
    let value = |name: &str| {
        form_urlencoded::parse(query.as_bytes())
            .find(|(k, _)| k == name)
            .map(|(_, v)| v)
    };
    let limit = match value("limit") {
        None => PAGE.0,
        Some(text) => match text.parse::<usize>() {
            Ok(n) if (1..=PAGE.1).contains(&n) => n,
            _ => {
                return Err(ApiError::new(
                    400,
                    "limit",
                    format!("limit must be 1 to {}", PAGE.1),
                ));
            }
        },
    };
    let start = match value("after") {
        None => 0,
        Some(id) => {
            let at = all.iter().position(|o| o["id"] == *id);
            1 + at.ok_or(ApiError::new(
                400,
                "after",
                "after names no object of the list",
            ))?
        }
    };
    let more = all.len() > start + limit;
    let data: Vec<Value> = all.into_iter().skip(start).take(limit).collect();
    let id = |o: Option<&Value>| o.map_or(Value::Null, |o| o["id"].clone());
    let (first, last) = (id(data.first()), id(data.last()));
    Ok(
        json!({"object": "list", "data": data, "first_id": first, "last_id": last, "has_more": more}),
    )
}

/// A time as `24h`, `30m`, `90s` or `7d`.
fn length(text: &str) -> Option<Duration> {
    let unit = match text.chars().last()? {
        's' => 1,
        'm' => 60,
        'h' => 3600,
        'd' => 86_400,
        _ => return None,
    };
    let n: u64 = text[..text.len() - 1].parse().ok()?;
    Some(Duration::from_secs(n.checked_mul(unit)?))
}
