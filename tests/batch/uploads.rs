//! Resumable uploads over unreliable or slow connections.

use std::time::Duration;

use serde_json::json;
use tokio::time::{Instant, sleep};

use crate::common::folder::Folder;
use crate::common::peers::{Client, Got, answer, config, peer};
use crate::service::{
    FORM_HEADERS, create, custom_id, form, get, lines, request, start_router, upload, wait_for_end,
};

const CREATE: &str = "/v1/uploads?filename=set.jsonl";

#[tokio::test]
async fn broken_upload_resumes_at_its_offset() {
    let folder = Folder::new();
    let server = peer(|_, _, body| answer(&custom_id(body))).await;
    let hosts = [("s-a", server.address.as_str(), "SERVING")];
    let router = start_router(config(&hosts, None), &folder).await;
    let text = lines(40);
    let mut client = Client::new(&router.batch).await;
    let headers = format!("Upload-Length: {}\r\nIdempotency-Key: u1\r\n", text.len());
    let created = request(&mut client, "POST", CREATE, &headers, "").await;
    let repeated = request(&mut client, "POST", CREATE, &headers, "").await;
    assert_eq!(
        (created.head.status, created.head.get("location")),
        (201, repeated.head.get("location"))
    );
    let path = created.head.get("location").unwrap().to_string();
    send_part_and_break(client, &path, &text).await;
    let mut client = Client::new(&router.batch).await;
    let offset = wait_for_offset(&mut client, &path, 1234).await;
    assert_eq!(offset, 1234);
    let id = path.rsplit('/').next().unwrap();
    // a batch can't be created from an incomplete file
    assert_eq!(create(&mut client, id, "1h", "").await.head.status, 400);
    let remaining = append(&mut client, &path, offset, &text[offset..]).await;
    assert_eq!(
        (remaining.head.status, remaining.head.get("upload-offset")),
        (204, Some(text.len().to_string().as_str()))
    );
    let created = create(&mut client, id, "1h", "").await.json();
    let batch = wait_for_end(&mut client, created["id"].as_str().unwrap()).await;
    assert_eq!(
        batch["request_counts"],
        json!({"total": 40, "completed": 40, "failed": 0})
    );
}

/// Sends the first 1,234 bytes of an upload, then drops the connection.
async fn send_part_and_break(mut client: Client, path: &str, text: &str) {
    let head = format!(
        "PATCH {path} HTTP/1.1\r\nUpload-Offset: 0\r\nContent-Length: {}\r\n\r\n",
        text.len()
    );
    client.send(head.as_bytes()).await;
    client.send(&text.as_bytes()[..1234]).await;
    client.stream.set_nodelay(true).unwrap();
    sleep(Duration::from_millis(100)).await;
}

/// Waits until an upload has reached the offset `expected`, and checks that parts at another offset
/// are rejected. Returns the upload's latest offset.
async fn wait_for_offset(client: &mut Client, path: &str, expected: usize) -> usize {
    let start = Instant::now();
    loop {
        let got = get(client, path).await;
        let offset: usize = got.head.get("upload-offset").unwrap().parse().unwrap();
        let misplaced = append(client, path, offset + 1, "").await;
        assert_eq!(misplaced.head.status, 409);
        if offset == expected || start.elapsed() > Duration::from_secs(10) {
            return offset;
        }
        sleep(Duration::from_millis(20)).await;
    }
}

async fn append(client: &mut Client, path: &str, offset: usize, text: &str) -> Got {
    let headers = format!("Upload-Offset: {offset}\r\n");
    request(client, "PATCH", path, &headers, text).await
}

/// If descriptors run out, the router closes connections of clients that send nothing. It must not
/// close the connection of an upload that makes progress, however slowly.
#[tokio::test]
async fn slow_upload_survives_silent_clients() {
    let folder = Folder::new();
    let mut config = config(&[], None);
    config.max_descriptors = 48; // leaves four for clients
    let router = start_router(config, &folder).await;
    let text = lines(40);
    let mut client = Client::new(&router.batch).await;
    let length = format!("Upload-Length: {}\r\n", text.len());
    let created = request(&mut client, "POST", CREATE, &length, "").await;
    let path = created.head.get("location").unwrap().to_string();
    let head = format!(
        "PATCH {path} HTTP/1.1\r\nUpload-Offset: 0\r\nContent-Length: {}\r\n\r\n",
        text.len()
    );
    client.send(head.as_bytes()).await;
    let mut silent = Vec::new();
    for part in text.as_bytes().chunks(text.len().div_ceil(10)) {
        client.send(part).await;
        sleep(Duration::from_millis(50)).await;
        for _ in 0..3 {
            silent.push(Client::new(&router.batch).await);
        }
    }
    assert_eq!(client.answer().await.unwrap().head.status, 204);
}

/// How many clients break off an upload in each place.
const BROKEN_UPLOADS: usize = 5;

/// Guards against files of form uploads that broke off: they can't be resumed, and would fill the
/// store.
#[tokio::test]
async fn broken_form_leaves_no_file() {
    let folder = Folder::new();
    let router = start_router(config(&[], None), &folder).await;
    let form = form(&lines(400));
    let after_file = form.len() - 4;
    for sent in [form.len() / 2, after_file].repeat(BROKEN_UPLOADS) {
        let mut client = Client::new(&router.batch).await;
        let head = format!(
            "POST /v1/files HTTP/1.1\r\n{FORM_HEADERS}Content-Length: {}\r\n\r\n",
            form.len()
        );
        client.send(head.as_bytes()).await;
        client.send(&form.as_bytes()[..sent]).await;
        sleep(Duration::from_millis(20)).await;
    }
    let mut client = Client::new(&router.batch).await;
    let kept = upload(&mut client, &lines(1)).await;
    let start = Instant::now();
    loop {
        let files = get(&mut client, "/v1/files").await.json();
        let stored = std::fs::read_dir(folder.path("spool")).unwrap().count();
        if files["data"].as_array().unwrap().len() == 1 && stored == 1 {
            assert_eq!(files["data"][0]["id"], kept["id"]);
            return;
        }
        assert!(
            start.elapsed() < Duration::from_secs(10),
            "{stored} stored, {files}"
        );
        sleep(Duration::from_millis(20)).await;
    }
}

/// Guards against an upload that has all its bytes and never becomes a file, because its connection
/// broke before the end of the last chunked body.
#[tokio::test]
async fn upload_cut_after_last_byte_is_complete() {
    let folder = Folder::new();
    let router = start_router(config(&[], None), &folder).await;
    let text = lines(1);
    let mut client = Client::new(&router.batch).await;
    let length = format!("Upload-Length: {}\r\n", text.len());
    let created = request(&mut client, "POST", CREATE, &length, "").await;
    let path = created.head.get("location").unwrap().to_string();
    let part = format!(
        "PATCH {path} HTTP/1.1\r\nUpload-Offset: 0\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{text}\r\n",
        text.len()
    );
    client.send(part.as_bytes()).await;
    sleep(Duration::from_millis(100)).await;
    drop(client);
    let mut client = Client::new(&router.batch).await;
    let file_path = path.replace("/v1/uploads", "/v1/files");
    let start = Instant::now();
    while get(&mut client, &file_path).await.json()["status"] != "processed" {
        assert!(start.elapsed() < Duration::from_secs(10));
        sleep(Duration::from_millis(20)).await;
    }
}
