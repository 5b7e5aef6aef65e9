//! Batches whose budget is exhausted before all their lines have run.

use std::collections::HashSet;
use std::time::Duration;

use serde_json::Value;
use tokio::time::{Instant, sleep};

use crate::batches::*;
use crate::common::peers::*;
use crate::config_files::{NODES, edge_file, keys_file};
use crate::fixture::*;

const LINES: usize = 60;
/// The cost of a line in tokens.
const LINE_TOKENS: u64 = 25;
/// The number of lines that the small budget covers.
const COVERED_LINES: u64 = 20;

/// The nodes, with a budget of the class for this number of lines.
fn nodes(lines: u64) -> String {
    let tokens = lines * LINE_TOKENS;
    let budget = format!("budgets = [{{ per = \"term\", tokens = {tokens} }}]");
    let class = "path = \"lakes/north/7b\"";
    NODES.replace(class, &format!("{class}\n{budget}"))
}

/// Starts a batch and waits until its budget is exhausted.
async fn exhaust_budget() -> (EdgeFixture, Client, String) {
    let fixture =
        EdgeFixture::start(vec![server_options("a", &["hint"])], &nodes(COVERED_LINES)).await;
    let mut client = Client::new(&fixture.router.batch).await;
    let file = upload_lines(&mut client, LINES).await;
    let batch_path = create_batch(&mut client, &file).await;
    let start = Instant::now();
    while completed_lines(&fixture, &mut client, &batch_path).await < COVERED_LINES {
        assert!(start.elapsed() < Duration::from_secs(20));
        sleep(Duration::from_millis(10)).await;
    }
    (fixture, client, batch_path)
}

fn assert_one_outcome_per_line(results: &[Value]) {
    let ids: HashSet<_> = results
        .iter()
        .map(|result| result["custom_id"].as_str())
        .collect();
    assert_eq!((ids.len(), results.len()), (LINES, LINES));
}

fn answered_lines(results: &[Value]) -> u64 {
    let answered = results
        .iter()
        .filter(|result| result["response"]["status_code"] == 200);
    answered.count() as u64
}

/// Guards against a batch that stays paused after a reload has raised its budget.
#[tokio::test]
async fn raised_budget_resumes_batch() {
    let (fixture, mut client, batch_path) = exhaust_budget().await;
    let raised = nodes(LINES as u64);
    fixture
        .reload(&edge_file(&raised), &keys_file(&raised))
        .await;
    let results = wait_for_results(&fixture, &mut client, &batch_path, "completed").await;
    assert_one_outcome_per_line(&results);
    assert_eq!(answered_lines(&results), LINES as u64);
    assert_eq!(
        fixture.budget("lakes").await,
        BudgetUsage::settled(LINES as u64 * LINE_TOKENS)
    );
    fixture.assert_attempts_bounded();
}

/// Guards against a batch that is reported as completed although it was cancelled before all its
/// lines had run, and against lines without an outcome.
#[tokio::test]
async fn cancelled_batch_over_budget_ends() {
    let (fixture, mut client, batch_path) = exhaust_budget().await;
    let cancel = post_request(&format!("{batch_path}/cancel"), "application/json", "");
    assert_eq!(client.call(cancel.as_bytes()).await.head.status, 200);
    let results = wait_for_results(&fixture, &mut client, &batch_path, "cancelled").await;
    assert_one_outcome_per_line(&results);
    assert_eq!(answered_lines(&results), COVERED_LINES);
}
