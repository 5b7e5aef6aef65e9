//! Batches beside interactive requests.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use tokio::time::{Instant, sleep};

use crate::common::folder::Folder;
use crate::common::peers::{Client, Peer, Router, Step, answer, ask, config, peer};
use crate::service::{get, lines, outcomes, start_batch, start_router, wait_for_end};

/// A server with this many slots. Further requests wait in line, so that a batch can delay
/// interactive ones.
async fn slotted(slots: usize) -> Peer {
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

/// Sends `hint` requests at their peak rate; the part of them that was answered in time.
async fn punctual_hints(router: &Router, count: usize) -> f64 {
    let in_time = Arc::new(AtomicUsize::new(0));
    let mut requests = Vec::new();
    for _ in 0..count {
        let (address, in_time) = (router.platform.clone(), in_time.clone());
        requests.push(tokio::spawn(async move {
            let start = Instant::now();
            let got = ask(&address, "hint", 1500).await;
            if got.head.status == 200 && got.whole && start.elapsed() < Duration::from_millis(460) {
                in_time.fetch_add(1, Ordering::SeqCst);
            }
        }));
        sleep(Duration::from_millis(10)).await;
    }
    for request in requests {
        request.await.unwrap();
    }
    in_time.load(Ordering::SeqCst) as f64 / count as f64
}

/// The punctual part of `hint` requests at their peak, with or without a batch beside them.
async fn punctual_hints_at_peak(with_batch: bool) -> f64 {
    let folder = Folder::new();
    // six of ten slots are busy with hint alone, as on the site's busiest days (0.50 to 0.66 of
    // capacity)
    let (a, b) = (slotted(5).await, slotted(5).await);
    let hosts = [
        ("s-a", a.address.as_str(), "SERVING"),
        ("s-b", b.address.as_str(), "SERVING"),
    ];
    let router = start_router(config(&hosts, None), &folder).await;
    punctual_hints(&router, 50).await;
    let mut client = Client::new(&router.batch).await;
    let mut batch = None;
    if with_batch {
        batch = Some(start_batch(&mut client, &lines(300), "1h").await);
    }
    let punctual = punctual_hints(&router, 400).await;
    if let Some(id) = batch {
        // the batch made progress meanwhile, and is completed afterwards
        let path = format!("/v1/batches/{id}");
        let counts = get(&mut client, &path).await.json()["request_counts"].clone();
        assert!(counts["completed"].as_u64().unwrap() > 0, "{counts}");
        let batch = wait_for_end(&mut client, &id).await;
        assert_eq!(outcomes(&mut client, &batch).await.len(), 300);
    }
    punctual
}

/// A batch that starts at the peak of `hint` costs less than 5% of its answers in time.
#[tokio::test]
async fn batch_spares_interactive_requests() {
    let alone = punctual_hints_at_peak(false).await;
    let with_batch = punctual_hints_at_peak(true).await;
    let punctual = [alone, with_batch];
    assert!(
        alone > 0.8,
        "the peak must be one that can be served: {punctual:?}"
    );
    assert!(with_batch > alone * 0.95, "{punctual:?}");
}
