//! A key that is revoked while a batch created with it runs.
//!
//! Guards against answering, or failing to account for, the remaining lines after the revocation.

use std::time::Duration;

use tokio::time::{Instant, sleep};

use crate::batches::*;
use crate::common::peers::*;
use crate::config_files::{NODES, edge_file, keys_file};
use crate::fixture::*;

/// The number of lines of the batch.
const LINES: usize = 150;

#[tokio::test]
async fn revoked_key_fails_remaining_lines() {
    let mut slow = server_options("a", &["hint"]);
    slow.first_token_delay = Duration::from_millis(30);
    let fixture = EdgeFixture::start(vec![slow], NODES).await;
    let mut client = Client::new(&fixture.router.batch).await;
    let file = upload_lines(&mut client, LINES).await;
    let batch_path = create_batch(&mut client, &file).await;
    // another tenant can access neither the file nor the batch; the district can access both
    let got = fixture
        .get(&mut client, &batch_path, "lakes/south/3a")
        .await;
    assert_eq!(got.head.status, 404);
    let file_path = format!("/v1/files/{}", file["id"].as_str().unwrap());
    let got = fixture.get(&mut client, &file_path, "lakes/south").await;
    assert_eq!(got.head.status, 404);
    let start = Instant::now();
    while completed_lines(&fixture, &mut client, &batch_path).await < 20 {
        assert!(start.elapsed() < Duration::from_secs(20));
        sleep(Duration::from_millis(10)).await;
    }
    let revoked = keys_file(NODES).replace(
        "node = \"lakes/north/7b\"",
        "node = \"lakes/north/7b\"\nrevoked = true",
    );
    fixture.reload(&edge_file(NODES), &revoked).await;
    let got = fixture
        .get(&mut client, &batch_path, "lakes/north/7b")
        .await;
    assert_eq!(got.head.status, 401);
    let results = wait_for_results(&fixture, &mut client, &batch_path, "completed").await;
    let served = results
        .iter()
        .filter(|result| result["response"]["status_code"] == 200)
        .count() as u64;
    let revoked = results
        .iter()
        .filter(|result| result["error"]["code"] == "key_revoked")
        .count() as u64;
    assert_eq!((results.len(), served + revoked), (LINES, LINES as u64));
    assert!(served >= 20 && revoked > 0, "{served} {revoked}");
    // each answered line is charged once to the node of the key that created the batch
    assert_eq!(
        fixture.budget("lakes").await,
        BudgetUsage::settled(served * 25)
    );
}
