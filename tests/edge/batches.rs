//! Batches of the class `lakes/north/7b`.

use std::time::Duration;

use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

use crate::common::peers::*;
use crate::config_files::api_key;
use crate::fixture::*;

/// A POST request with the key of the class `lakes/north/7b`.
pub fn post_request(path: &str, content_type: &str, body: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nAuthorization: Bearer {}\r\nContent-Type: {content_type}\r\nContent-Length: {}\r\n\r\n{body}",
        api_key("lakes/north/7b"),
        body.len()
    )
}

/// Uploads an input file with this number of lines and returns the file object. A line costs 25
/// tokens.
pub async fn upload_lines(client: &mut Client, count: usize) -> Value {
    let line = |k: usize| {
        let body = chat_body("hint", json!({"max_tokens": 5}));
        json!({"custom_id": format!("p{k}"), "method": "POST", "url": "/v1/chat/completions", "body": body})
    };
    let text: String = (0..count).map(|k| format!("{}\n", line(k))).collect();
    let form = format!(
        "--XX\r\nContent-Disposition: form-data; name=\"purpose\"\r\n\r\nbatch\r\n--XX\r\n\
         Content-Disposition: form-data; name=\"file\"; filename=\"set.jsonl\"\r\n\r\n{text}\r\n--XX--\r\n"
    );
    let request = post_request("/v1/files", "multipart/form-data; boundary=XX", &form);
    client.call(request.as_bytes()).await.json()
}

/// Creates a batch from a file and returns the batch's path.
pub async fn create_batch(client: &mut Client, file: &Value) -> String {
    let order = json!({"input_file_id": file["id"], "endpoint": "/v1/chat/completions", "completion_window": "1h"});
    let request = post_request("/v1/batches", "application/json", &order.to_string());
    let batch = client.call(request.as_bytes()).await.json();
    format!("/v1/batches/{}", batch["id"].as_str().unwrap())
}

pub async fn completed_lines(fixture: &EdgeFixture, client: &mut Client, batch_path: &str) -> u64 {
    let batch = fixture.get(client, batch_path, "lakes").await.json();
    batch["request_counts"]["completed"].as_u64().unwrap()
}

/// Waits until the batch has ended with this status and returns the objects of its output file.
pub async fn wait_for_results(
    fixture: &EdgeFixture,
    client: &mut Client,
    batch_path: &str,
    status: &str,
) -> Vec<Value> {
    let start = Instant::now();
    let batch = loop {
        let batch = fixture.get(client, batch_path, "lakes").await.json();
        if batch["status"] == status {
            break batch;
        }
        assert!(start.elapsed() < Duration::from_secs(30), "{batch}");
        sleep(Duration::from_millis(10)).await;
    };
    let file_id = batch["output_file_id"].as_str().unwrap();
    let content_path = format!("/v1/files/{file_id}/content");
    let content = fixture.get(client, &content_path, "lakes").await.body;
    content
        .lines()
        .map(|line| serde_json::from_str(line).unwrap())
        .collect()
}
