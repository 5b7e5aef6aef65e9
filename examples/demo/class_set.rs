//! A class set: the answers of a school class, which are marked together as one batch.

use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::api_client::{ApiClient, Response};
use crate::{DemoError, chat_body};

const PUPILS: u32 = 3;
/// The maximum duration of the batch.
const TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Uploads the class set, runs it, and returns the download of its results.
pub async fn run(client: &ApiClient) -> Result<Response, DemoError> {
    let file = upload(client).await?;
    let order = json!({"input_file_id": file["id"], "endpoint": "/v1/chat/completions", "completion_window": "1h"});
    let batch = client.post("/v1/batches", &order).await?.json()?;
    let batch = wait_until_completed(client, batch).await?;
    let results = batch["output_file_id"].as_str().unwrap_or_default();
    client.get(&format!("/v1/files/{results}/content")).await
}

async fn upload(client: &ApiClient) -> Result<Value, DemoError> {
    let lines: String = (1..=PUPILS).map(input_line).collect();
    let form = format!(
        "--XX\r\nContent-Disposition: form-data; name=\"purpose\"\r\n\r\nbatch\r\n--XX\r\n\
         Content-Disposition: form-data; name=\"file\"; filename=\"set.jsonl\"\r\n\r\n{lines}\r\n--XX--\r\n"
    );
    let content_type = "multipart/form-data; boundary=XX";
    client
        .upload("/v1/files", content_type, &form)
        .await?
        .json()
}

/// Returns a line of the input file, including its line feed.
fn input_line(pupil: u32) -> String {
    let body = chat_body("mark", "Mark this.", &json!({"max_tokens": 5}));
    let line = json!({"custom_id": format!("pupil-{pupil}"), "method": "POST", "url": "/v1/chat/completions", "body": body});
    format!("{line}\n")
}

async fn wait_until_completed(client: &ApiClient, mut batch: Value) -> Result<Value, DemoError> {
    let path = format!("/v1/batches/{}", batch["id"].as_str().unwrap_or_default());
    let start = Instant::now();
    while batch["status"] != "completed" {
        if start.elapsed() > TIMEOUT {
            return Err(format!("the class set was not completed in time: {batch}").into());
        }
        tokio::time::sleep(POLL_INTERVAL).await;
        batch = client.get(&path).await?.json()?;
    }
    Ok(batch)
}
