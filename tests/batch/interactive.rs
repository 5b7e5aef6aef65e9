//! Batches that run at the same time as interactive requests.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use tokio::time::{Instant, sleep};

use crate::common::folder::Folder;
use crate::common::peers::{Client, Peer, Router, Step, answer, ask, config, peer};
use crate::service::{get, lines, outcomes, start_batch, start_router, wait_for_end};

/// A server that processes at most `slots` requests at a time. Further requests wait in a queue, so
/// that batch lines can delay interactive requests.
async fn slot_limited_server(slots: usize) -> Peer {
    let server = peer(|_, _, body| {
        let is_line = body.windows(5).any(|w| w == b"pupil");
        [
            vec![Step::Gate, Step::Sleep(if is_line { 120 } else { 60 })],
            answer("x"),
            vec![Step::Release],
        ]
        .concat()
    })
    .await;
    server.gate.add_permits(slots);
    server
}

/// Sends requests of the class `hint` at their peak rate. Returns the fraction answered in time,
/// and prints the other answers.
async fn hints_in_time(router: &Router, count: usize) -> f64 {
    let in_time = Arc::new(AtomicUsize::new(0));
    let mut requests = Vec::new();
    let first = Instant::now();
    for number in 0..count {
        let (address, in_time) = (router.platform.clone(), in_time.clone());
        requests.push(tokio::spawn(async move {
            let start = Instant::now();
            let got = ask(&address, "hint", 1500).await;
            let elapsed = start.elapsed();
            if got.head.status == 200 && got.whole && elapsed < Duration::from_millis(460) {
                in_time.fetch_add(1, Ordering::SeqCst);
            } else {
                let sent = start - first;
                println!(
                    "hint {number} sent at {sent:?}: {} after {elapsed:?}",
                    got.head.status
                );
            }
        }));
        sleep(Duration::from_millis(10)).await;
    }
    for request in requests {
        request.await.unwrap();
    }
    in_time.load(Ordering::SeqCst) as f64 / count as f64
}

/// The fraction of `hint` requests answered in time at peak load, with or without a batch running.
async fn hints_in_time_at_peak(with_batch: bool) -> f64 {
    let folder = Folder::new();
    // hint requests alone occupy six of ten slots, which is the load on the site's busiest days
    // (0.50 to 0.66 of capacity)
    let (a, b) = (slot_limited_server(5).await, slot_limited_server(5).await);
    let hosts = [
        ("s-a", a.address.as_str(), "SERVING"),
        ("s-b", b.address.as_str(), "SERVING"),
    ];
    let router = start_router(config(&hosts, None), &folder).await;
    hints_in_time(&router, 50).await;
    let mut client = Client::new(&router.batch).await;
    let mut batch = None;
    if with_batch {
        batch = Some(start_batch(&mut client, &lines(300), "1h").await);
    }
    let in_time = hints_in_time(&router, 400).await;
    if let Some(id) = batch {
        // the batch made progress during the peak, and completes after it
        let path = format!("/v1/batches/{id}");
        let counts = get(&mut client, &path).await.json()["request_counts"].clone();
        assert!(counts["completed"].as_u64().unwrap() > 0, "{counts}");
        let batch = wait_for_end(&mut client, &id).await;
        assert_eq!(outcomes(&mut client, &batch).await.len(), 300);
    }
    in_time
}

/// Guards against batch lines that occupy the slots which interactive requests need. A batch that
/// starts during the peak of `hint` must reduce the fraction answered in time by less than 5%.
#[tokio::test]
async fn batch_keeps_interactive_answers_on_time() {
    let alone = hints_in_time_at_peak(false).await;
    let with_batch = hints_in_time_at_peak(true).await;
    let in_time = [alone, with_batch];
    assert!(
        alone > 0.8,
        "the servers can't handle the peak even without a batch: {in_time:?}"
    );
    assert!(with_batch > alone * 0.95, "{in_time:?}");
}
