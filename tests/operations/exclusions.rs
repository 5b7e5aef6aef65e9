//! Model servers that operators exclude or the list drains get no requests.

use std::time::Duration;

use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout};

use crate::common::peers::*;
use crate::operator::*;

#[tokio::test]
async fn excluded_server_gets_nothing_until_restored() {
    let (a, b) = answering_pair().await;
    let moved = peer(|_, _, _| answer("moved")).await;
    let (at_a, at_b) = (a.address.as_str(), b.address.as_str());
    let at_c = moved.address.as_str();
    let both = [("s-a", at_a, "SERVING"), ("s-b", at_b, "SERVING")];
    let lists = [
        list(2, false, &[("s-a", at_a, "DELETED")]),
        list(3, false, &[("s-a", at_a, "SERVING")]),
        list(4, true, &[("s-b", at_b, "SERVING")]),
        list(5, true, &both),
        list(6, false, &[("s-a", at_c, "SERVING")]),
    ];
    let discovery = lists_behind_gate(lists).await;
    let router = route(config(&both, Some(&discovery.address))).await;
    until("the watch", || discovery.requests() == 1).await;
    let unknown = call(&router, "POST", "/model-servers/disable?name=s-x").await;
    assert_eq!(unknown.0, 404);
    let unknown = call(&router, "POST", "/model-servers/enable?name=s-x").await;
    assert_eq!(unknown.0, 404);
    // excluding it again changes nothing
    for _ in 0..2 {
        disable(&router, "s-a").await;
    }
    for n in 1..=6 {
        for _ in 0..5 {
            assert!(ask(&router.platform, "hint", 1000).await.whole);
        }
        if n < 6 {
            discovery.gate.add_permits(1);
            until("the list has arrived", || discovery.requests() == n + 1).await;
            // listed once and removed: still known
            disable(&router, "s-a").await;
        }
    }
    assert_eq!((a.requests(), moved.requests()), (0, 0));
    wait_for_metrics(
        &router,
        &[("router_cluster_size", 2), ("router_cluster_unhealthy", 1)],
    )
    .await;
    // all excluded: rejected at once, as waiting is useless
    disable(&router, "s-b").await;
    let start = Instant::now();
    let rejected = ask(&router.platform, "batch-mark", 10_000).await;
    assert_eq!(rejected.head.status, 503);
    assert!(
        start.elapsed() < Duration::from_secs(2),
        "{:?}",
        start.elapsed()
    );
    // one command restores it at the address in the list; it may have been restarted, and goes
    // through slow start
    enable(&router, "s-b").await;
    enable(&router, "s-a").await;
    let served = async {
        while moved.requests() == 0 {
            ask(&router.platform, "hint", 1000).await;
        }
    };
    timeout(Duration::from_secs(10), served)
        .await
        .expect("served again");
    assert_eq!(a.requests(), 0);
}

#[tokio::test]
async fn unstarted_attempt_moves_elsewhere() {
    // accepts nothing: its backlog is full, and a connection to it never comes up
    let full = tokio::net::TcpSocket::new_v4().unwrap();
    full.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let full = full.listen(1).unwrap();
    let at = full.local_addr().unwrap().to_string();
    let mut backlog = Vec::new();
    while let Ok(Ok(stream)) = timeout(Duration::from_millis(200), TcpStream::connect(&at)).await {
        backlog.push(stream);
    }
    let good = peer(|_, _, _| answer("good")).await;
    let mut config = config(
        &[("s-a", &at, "SERVING"), ("s-b", &good.address, "SERVING")],
        None,
    );
    config.connect_timeout = Duration::from_secs(8);
    let router = route(config).await;
    let mut clients = Vec::new();
    // until one of them waits there; the server is chosen at random
    while metric(&router, "router_current").await == 0 {
        let mut client = Client::new(&router.platform).await;
        client.send(&request("batch-mark", 10_000, "")).await;
        clients.push(client);
        sleep(Duration::from_millis(50)).await;
    }
    let start = Instant::now();
    disable(&router, "s-a").await;
    for client in &mut clients {
        assert!(client.answer().await.unwrap().whole);
    }
    assert_eq!(good.requests(), clients.len());
    assert!(
        start.elapsed() < Duration::from_secs(5),
        "{:?}",
        start.elapsed()
    );
}

/// An empty list, an older one, and one that names a server twice: a draining server gets nothing.
#[tokio::test]
async fn odd_lists_keep_a_server_draining() {
    let (a, b) = answering_pair().await;
    let (at_a, at_b) = (a.address.as_str(), b.address.as_str());
    let lists = [
        list(
            5,
            false,
            &[("s-a", at_a, "DRAINING"), ("s-a", at_a, "SERVING")],
        ),
        // an answer from before the drain, and the complete list that is polled then
        list(3, false, &[("s-a", at_a, "SERVING")]),
        list(
            5,
            true,
            &[("s-a", at_a, "DRAINING"), ("s-b", at_b, "SERVING")],
        ),
        list(6, true, &[]),
        list(7, true, &[("s-b", at_b, "SERVING")]),
    ];
    let discovery = lists_behind_gate(lists).await;
    let both = [("s-a", at_a, "SERVING"), ("s-b", at_b, "SERVING")];
    let router = route(config(&both, Some(&discovery.address))).await;
    until("the watch", || discovery.requests() == 1).await;
    for n in 1..=5 {
        discovery.gate.add_permits(1);
        until("the next call", || discovery.requests() == n + 1).await;
        sleep(Duration::from_millis(20)).await;
        for _ in 0..5 {
            // an empty list leaves no server
            assert_eq!(
                ask(&router.platform, "hint", 1000).await.head.status == 200,
                n != 4
            );
        }
    }
    assert_eq!((a.requests(), b.requests()), (0, 20));
    let targets = discovery.targets();
    assert_eq!(targets[2], "/catalog/members", "{targets:?}");
    assert!(
        targets[1].contains("after=5&") && targets[3].contains("after=5&"),
        "{targets:?}"
    );
}
