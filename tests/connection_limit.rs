//! The connection limits: idle connections are evicted, busy ones are not, and neither side uses up
//! the other's.

mod common;

use std::time::Duration;

use common::peers::*;
use rstest::rstest;
use tokio::io::AsyncWriteExt;
use tokio::time::timeout;

/// At the connection limit idle connections are evicted; one with an unanswered request never is.
#[tokio::test]
async fn only_idle_connections_are_evicted() {
    let server = peer(|_, _, _| [vec![Step::Gate], answer("x")].concat()).await;
    let mut config = config(&[("s-a", &server.address, "SERVING")], None);
    config.max_descriptors = 48; // four for clients, four for servers
    let router = route(config).await;
    let mut busy = Client::new(&router.platform).await;
    busy.send(&request("batch-mark", 10_000, "")).await;
    until("the request is there", || server.requests() == 1).await;
    let mut idle = Vec::new();
    for _ in 0..20 {
        let mut client = Client::new(&router.platform).await;
        assert_eq!(
            client
                .call(b"GET /_health HTTP/1.1\r\n\r\n")
                .await
                .head
                .status,
            200
        );
        idle.push(client);
    }
    server.gate.add_permits(1);
    assert_eq!(busy.answer().await.unwrap().head.status, 200);
}

/// Many clients that send nothing, or never finish: each is answered or closed in time, and none of
/// them delays a request of another client.
#[rstest]
#[case::silent("")]
#[case::half("POST /v1/chat/completions HTTP/1.1\r\nX-Qos: hint\r\n")]
#[case::half_a_body(
    "POST /v1/chat/completions HTTP/1.1\r\nX-Qos: hint\r\nX-Trace-Id: ID\r\nContent-Length: 99\r\n\r\n{"
)]
#[tokio::test]
async fn unfinished_requests_time_out(#[case] text: &str) {
    let server = peer(|_, _, _| answer("x")).await;
    let mut config = config(&[("s-a", &server.address, "SERVING")], None);
    config.max_descriptors = 72; // sixteen for clients
    let router = route(config).await;
    let mut bad = Vec::new();
    for _ in 0..60 {
        let mut client = Client::new(&router.platform).await;
        // one that has been closed by now can't be written to
        let _ = client
            .stream
            .write_all(text.replace("ID", &fresh_id()).as_bytes())
            .await;
        bad.push(client);
    }
    assert_eq!(ask(&router.platform, "hint", 1000).await.head.status, 200);
    let all = async {
        for client in &mut bad {
            assert!(
                client
                    .answer()
                    .await
                    .is_none_or(|got| got.head.status == 408)
            );
        }
    };
    timeout(Duration::from_secs(8), all)
        .await
        .expect("all closed");
}

/// Clients can't use up the servers' connection limit, and idle connections to servers are evicted
/// one by one.
#[tokio::test]
async fn clients_leave_connections_for_servers() {
    let server = peer(|_, _, _| {
        let begun = Step::Write(format!("{STREAM}{}", chunk(&event("x"))));
        vec![begun, Step::Gate, Step::Release, Step::Write(LAST.into())]
    })
    .await;
    let mut config = config(&[("s-a", &server.address, "SERVING")], None);
    config.max_descriptors = 48; // four for clients, four for servers
    let router = route(config).await;
    let mut busy = Vec::new();
    for n in 1..=4 {
        let mut client = Client::new(&router.platform).await;
        client.send(&request("batch-mark", 10_000, "")).await;
        until("the request is there", || server.requests() == n).await;
        busy.push(client);
    }
    server.gate.add_permits(1);
    for client in &mut busy {
        assert_eq!(client.answer().await.unwrap().head.status, 200);
    }
}
