//! Draining the router, and slow clients beside it.

use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::time::{sleep, timeout};

use crate::common::peers::*;
use crate::operator::*;

#[tokio::test]
async fn drained_router_empties_and_returns() {
    let server = peer(|n, _, _| {
        if n == 0 {
            vec![Step::Gate, Step::Release]
        } else {
            answer("x")
        }
    })
    .await;
    let late = Duration::from_secs(4);
    let router = route(config(&[("s-a", &server.address, "SERVING")], None)).await;
    let mut busy = Client::new(&router.platform).await;
    busy.send(&request("batch-mark", 10_000, "")).await;
    until("the request is there", || server.requests() == 1).await;
    let mut idle = Client::new(&router.platform).await;
    assert!(idle.call(&request("hint", 1000, "")).await.whole);
    let mut half = Client::new(&router.platform).await;
    half.send(&request("hint", 1000, "")[..40]).await;
    for _ in 0..2 {
        execute(&router, "POST", "/drain").await;
    }
    assert!(!is_healthy(&router).await);
    assert_eq!(call(&router, "GET", "/ready").await.0, 200);
    // a client that still connects is served, and its connection is closed
    let got = ask(&router.platform, "hint", 1000).await;
    assert!(got.whole && got.head.closes());
    timeout(late, idle.answer())
        .await
        .expect("an idle connection is closed");
    let rejected = timeout(late, half.answer())
        .await
        .expect("an incomplete request is rejected in time");
    assert_eq!(rejected.map(|got| got.head.status), Some(408));
    // requests in flight are completed
    server.gate.add_permits(1);
    drop(busy);
    wait_for_metrics(&router, &[("router_current", 0), ("router_drained", 1)]).await;
    for _ in 0..2 {
        execute(&router, "POST", "/undrain").await;
    }
    assert!(is_healthy(&router).await);
    let mut client = Client::new(&router.platform).await;
    assert!(!client.call(&request("hint", 1000, "")).await.head.closes());
    // undrained again at once: the connection stays open
    execute(&router, "POST", "/drain").await;
    execute(&router, "POST", "/undrain").await;
    sleep(Duration::from_millis(700)).await;
    assert!(client.call(&request("hint", 1000, "")).await.whole);
    // a drained router shuts down like any other
    execute(&router, "POST", "/drain").await;
    router.end.send(true).unwrap();
    router.wait_until_stopped(Duration::from_secs(20)).await;
    assert!(server.dropped.load(Ordering::SeqCst) <= 1);
}

/// A request's deadline runs from its last byte: one that takes longer to arrive than its client
/// waits for an answer is served, beside idle connections and requests that never finish.
#[tokio::test]
async fn slow_request_is_served_under_load() {
    let server = peer(|_, _, _| answer("x")).await;
    let mut config = config(&[("s-a", &server.address, "SERVING")], None);
    config.max_descriptors = 72; // sixteen for clients
    let router = route(config).await;
    let text = request("hint", 1000, "");
    let mut slow = Client::new(&router.platform).await;
    let (mut crowd, half) = (Vec::new(), text.len() / 2);
    for (n, part) in text.chunks(text.len() / 12).enumerate() {
        slow.send(part).await;
        for k in 0..8 {
            let mut other = Client::new(&router.platform).await;
            if (n + k) % 2 == 0 {
                other.send(&text[..half]).await;
            }
            crowd.push(other);
        }
        sleep(Duration::from_millis(100)).await;
    }
    let got = timeout(Duration::from_secs(10), slow.answer())
        .await
        .expect("an answer")
        .expect("not cut off");
    assert_eq!((got.head.status, got.whole), (200, true));
    // an ordinary client is served as well
    assert!(ask(&router.platform, "hint", 1000).await.whole);
}
