//! Helpers that start a router with the batch service and send client requests to it.

use std::collections::HashSet;
use std::time::Duration;

use serde_json::{Value, json};
use stilespan::config::Config;
use stilespan::router::RouterOptions;
use tokio::time::{Instant, sleep};

use crate::common::folder::Folder;
use crate::common::peers::{Client, Got, Router, batch_options, config, router_options, start};

/// A line with this `custom_id`, which its prompt also contains so that servers can identify the
/// line.
pub fn line(id: &str) -> String {
    let message = json!({"role": "user", "content": format!("mark {id}")});
    let body = json!({"model": "mark", "max_tokens": 60, "messages": [message]});
    json!({"custom_id": id, "method": "POST", "url": "/v1/chat/completions", "body": body})
        .to_string()
}

/// An input file of `count` lines.
pub fn lines(count: usize) -> String {
    (0..count)
        .map(|number| line(&format!("pupil-{number}")) + "\n")
        .collect()
}

/// The `custom_id` of the line whose request body a server received.
pub fn custom_id(body: &[u8]) -> String {
    let body: Value = serde_json::from_slice(body).unwrap();
    body["messages"][0]["content"]
        .as_str()
        .unwrap()
        .replace("mark ", "")
}

pub async fn request(
    client: &mut Client,
    method: &str,
    path: &str,
    headers: &str,
    body: &str,
) -> Got {
    let text = format!(
        "{method} {path} HTTP/1.1\r\n{headers}Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    client.call(text.as_bytes()).await
}

pub async fn get(client: &mut Client, path: &str) -> Got {
    request(client, "GET", path, "", "").await
}

/// The headers of a request with a form.
pub const FORM_HEADERS: &str = "Content-Type: multipart/form-data; boundary=XX\r\n";

/// A form with a file.
pub fn form(text: &str) -> String {
    format!(
        "--XX\r\nContent-Disposition: form-data; name=\"purpose\"\r\n\r\nbatch\r\n--XX\r\n\
         Content-Disposition: form-data; name=\"file\"; filename=\"set.jsonl\"\r\n\r\n{text}\r\n--XX--\r\n"
    )
}

/// Uploads a file in a form. Returns the file's object.
pub async fn upload(client: &mut Client, text: &str) -> Value {
    let got = request(client, "POST", "/v1/files", FORM_HEADERS, &form(text)).await;
    assert_eq!(got.head.status, 200, "{got:?}");
    got.json()
}

pub async fn create(client: &mut Client, file: &str, window: &str, headers: &str) -> Got {
    let body = json!({
        "input_file_id": file,
        "endpoint": "/v1/chat/completions",
        "completion_window": window,
    });
    request(client, "POST", "/v1/batches", headers, &body.to_string()).await
}

/// Uploads a file and creates a batch from it. Returns the batch's id.
pub async fn start_batch(client: &mut Client, text: &str, window: &str) -> String {
    let file = upload(client, text).await;
    let batch = create(client, file["id"].as_str().unwrap(), window, "").await;
    batch.json()["id"].as_str().unwrap().to_string()
}

/// Waits until a batch has ended. Returns its object.
pub async fn wait_for_end(client: &mut Client, id: &str) -> Value {
    let start = Instant::now();
    loop {
        let batch = get(client, &format!("/v1/batches/{id}")).await.json();
        let status = batch["status"].as_str().unwrap();
        if ["completed", "failed", "cancelled", "expired"].contains(&status) {
            return batch;
        }
        assert!(start.elapsed() < Duration::from_secs(60), "{batch}");
        sleep(Duration::from_millis(20)).await;
    }
}

/// The outcomes in a batch's result file.
pub async fn outcomes(client: &mut Client, batch: &Value) -> Vec<Value> {
    let id = batch["output_file_id"]
        .as_str()
        .expect("the batch has a result file");
    let got = get(client, &format!("/v1/files/{id}/content")).await;
    got.body
        .lines()
        .map(|line| serde_json::from_str(line).unwrap())
        .collect()
}

/// The number of distinct `custom_id`s in the outcomes.
pub fn count_custom_ids(outcomes: &[Value]) -> usize {
    let ids: HashSet<_> = outcomes
        .iter()
        .map(|outcome| outcome["custom_id"].to_string())
        .collect();
    ids.len()
}

/// Starts a router with the batch service.
pub async fn start_router(config: Config, folder: &Folder) -> Router {
    start(options_with_batch(config, folder)).await
}

/// Starts a router that serves only batch clients, and reads its model servers from an inventory.
pub async fn start_on_inventory(folder: &Folder, inventory: &std::path::Path) -> Router {
    let mut config = config(&[], None);
    config.listen = None;
    start(RouterOptions {
        inventory: Some(inventory.to_path_buf()),
        ..options_with_batch(config, folder)
    })
    .await
}

/// The options of a router with the batch service enabled.
fn options_with_batch(config: Config, folder: &Folder) -> RouterOptions {
    RouterOptions {
        batch: Some(batch_options(&folder.path("spool"))),
        ..router_options(config)
    }
}
