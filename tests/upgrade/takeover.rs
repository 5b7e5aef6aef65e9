//! Takeovers by a successor process, under load and with successors that fail.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

use crate::common::peers::*;
use crate::processes::*;

#[tokio::test]
async fn takeover_under_load_loses_no_request() {
    let (_, _, config) = start_two_servers().await;
    let platform = Platform::new(config);
    let predecessor = platform.start().await;
    predecessor.wait_until_ready().await;
    let (stop, served) = (Arc::<AtomicBool>::default(), Arc::<AtomicUsize>::default());
    let load: Vec<_> = (0..4)
        .map(|_| {
            let (address, stop, served) =
                (platform.clients_address(), stop.clone(), served.clone());
            tokio::spawn(async move {
                while !stop.load(Ordering::SeqCst) {
                    // each request opens a connection, because the test covers their acceptance
                    assert!(ask(&address, "batch-mark", 10_000).await.whole);
                    served.fetch_add(1, Ordering::SeqCst);
                }
            })
        })
        .collect();
    let successor = platform.start().await;
    successor.wait_until_ready().await;
    predecessor
        .wait_for_log("the successor process has taken over")
        .await;
    let before = served.load(Ordering::SeqCst);
    predecessor.signal("TERM");
    predecessor
        .wait_for_log("shutting down: another process accepts the connections")
        .await;
    assert_eq!(predecessor.wait_for_exit().await, Some(0));
    until("the successor serves clients", || {
        served.load(Ordering::SeqCst) > before + 50
    })
    .await;
    stop.store(true, Ordering::SeqCst);
    for client in load {
        client.await.unwrap();
    }
}

#[tokio::test]
async fn successor_inherits_endpoint_list() {
    let (a, b, config) = start_two_servers().await;
    let hosts = [
        ("s-a", a.address.as_str(), "DRAINING"),
        ("s-b", b.address.as_str(), "SERVING"),
    ];
    let endpoints = list(5, true, &hosts).to_string();
    let discovery = peer(move |n, _, _| {
        if n == 0 {
            vec![success(&endpoints)]
        } else {
            vec![Step::Hang]
        }
    })
    .await;
    let mut config: serde_json::Value = serde_json::from_str(&config).unwrap();
    config["discovery"] = discovery.address.clone().into();
    config["settings"]["discovery"] = "ask".into();
    let platform = Platform::new(config.to_string());
    let predecessor = platform.start().await;
    predecessor.wait_until_ready().await;
    until("the watch continues", || discovery.requests() == 2).await;
    // discovery no longer responds: the successor can get the list only from the predecessor
    let successor = platform.start().await;
    successor.wait_until_ready().await;
    until("the successor polls", || discovery.requests() == 3).await;
    assert!(
        discovery.seen.lock().unwrap()[2]
            .0
            .target
            .contains("after=5&")
    );
    predecessor.signal("KILL");
    predecessor.wait_for_exit().await;
    let before = a.requests();
    for _ in 0..20 {
        assert!(ask(&platform.clients_address(), "hint", 1000).await.whole);
    }
    assert_eq!(a.requests(), before);
}

#[tokio::test]
async fn failed_successors_leave_predecessor_serving() {
    let (_, _, config) = start_two_servers().await;
    let platform = Platform::new(config);
    let predecessor = platform.start().await;
    predecessor.wait_until_ready().await;
    let first = platform.start().await;
    first.wait_until_ready().await;
    first.signal("KILL");
    first.wait_for_exit().await;
    predecessor
        .wait_for_log("has exited; this process goes on serving")
        .await;
    // a process that connects and sends nothing
    let silent = tokio::net::UnixStream::connect(platform.folder.path("stilespan.sock"))
        .await
        .unwrap();
    assert!(ask(&platform.clients_address(), "hint", 1000).await.whole);
    // the third process may start before the second is ready, and takes over from whichever process
    // serves by then
    let (second, third) = (platform.start().await, platform.start().await);
    second.wait_until_ready().await;
    third.wait_until_ready().await;
    drop(silent);
    assert_eq!(third.post("/model-servers/disable?name=s-a").await, 200);
    for process in [predecessor, second] {
        process.signal("TERM");
        assert_eq!(process.wait_for_exit().await, Some(0));
    }
    assert!(ask(&platform.clients_address(), "hint", 1000).await.whole);
    third.signal("TERM");
    assert_eq!(third.wait_for_exit().await, Some(0));
}
