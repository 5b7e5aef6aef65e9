//! Requests that the API rejects.

use rstest::rstest;
use serde_json::json;

use crate::common::folder::Folder;
use crate::common::peers::{Client, config};
use crate::service::{request, start_router};

/// A batch of an unknown file, with this number of metadata values of this length.
fn batch_with_metadata(entries: usize, value_bytes: usize) -> String {
    let metadata: serde_json::Map<_, _> = (0..entries)
        .map(|number| (format!("key-{number}"), "x".repeat(value_bytes).into()))
        .collect();
    let batch = json!({"input_file_id": "x", "endpoint": "/v1/chat/completions",
        "completion_window": "1h", "metadata": metadata});
    batch.to_string()
}

#[rstest]
#[case::batch("GET", "/v1/batches/batch_none", "", 404)]
#[case::file("GET", "/v1/files/file-none/content", "", 404)]
#[case::outside("GET", "/v1/files/..%2f..%2fetc/content", "", 404)]
#[case::path("GET", "/v2/files", "", 404)]
#[case::method("PUT", "/v1/files", "", 405)]
#[case::form("POST", "/v1/files", "plain", 400)]
#[case::json("POST", "/v1/batches", "{", 400)]
#[case::input(
    "POST",
    "/v1/batches",
    r#"{"input_file_id":"x","endpoint":"/v1/chat/completions","completion_window":"1h"}"#,
    404
)]
#[case::endpoint(
    "POST",
    "/v1/batches",
    r#"{"input_file_id":"x","endpoint":"/v1/none","completion_window":"1h"}"#,
    400
)]
#[case::window(
    "POST",
    "/v1/batches",
    r#"{"input_file_id":"x","endpoint":"/v1/chat/completions","completion_window":"soon"}"#,
    400
)]
#[case::many_metadata("POST", "/v1/batches", &batch_with_metadata(17, 1), 400)]
#[case::long_metadata("POST", "/v1/batches", &batch_with_metadata(1, 3000), 400)]
#[case::accepted_metadata("POST", "/v1/batches", &batch_with_metadata(16, 500), 404)]
#[case::cancel("POST", "/v1/batches/batch_none/cancel", "", 404)]
#[case::upload("POST", "/v1/uploads", "", 400)]
#[tokio::test]
async fn invalid_requests_get_api_errors(
    #[case] method: &str,
    #[case] path: &str,
    #[case] body: &str,
    #[case] status: u16,
) {
    let folder = Folder::new();
    let router = start_router(config(&[], None), &folder).await;
    let mut client = Client::new(&router.batch).await;
    let got = request(&mut client, method, path, "", body).await;
    assert_eq!(got.head.status, status, "{got:?}");
    assert_eq!(got.json()["error"]["type"], "invalid_request_error");
}
