//! Clients that leave, wherever their requests stand, and the room that requests wait for.

mod common;

use std::time::Duration;

use common::peers::*;
use serde_json::Value;
use stilespan::config::Config;
use tokio::time::sleep;

/// A request with a body of about so many KiB.
fn large(kib: usize) -> Vec<u8> {
    let body = format!("{{\"messages\":[],\"pad\":\"{}\"}}", "x".repeat(kib << 10));
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nX-Trace-Id: {}\r\nX-Qos: batch-mark\r\nX-Expires-In-Ms: 10000\r\n\
         Content-Length: {}\r\n\r\n{body}",
        fresh_id(),
        body.len()
    );
    head.into_bytes()
}

/// The configuration of a router that may hold no memory to speak of.
fn small(address: &str) -> Config {
    let text = config_text(&[("s-a", address, "SERVING")], None);
    let mut value: Value = serde_json::from_str(&text).unwrap();
    value["limits"]["memory_mb"] = 0.into();
    // steps come as soon as there is mail: a request is decided on before anything else can be heard
    value["settings"]["period"] = 0.into();
    Config::parse(std::path::Path::new("small"), &value.to_string()).unwrap()
}

/// A client leaves while its body waits for room behind others: nothing is sent for it when there is room again.
#[tokio::test]
async fn a_client_that_left_while_its_body_waited_for_room_is_not_sent_on() {
    let server =
        peer(|n, _, _| if n < 2 { [vec![Step::Gate], answer("x")].concat() } else { answer("y") }).await;
    let router = route(small(&server.address)).await;
    let (mut a, mut b) = (Client::new(&router.platform).await, Client::new(&router.platform).await);
    a.send(&large(250)).await;
    b.send(&large(250)).await;
    until("both are at the server", || server.requests() == 2).await;
    let mut gone = Client::new(&router.platform).await;
    gone.send(&large(100)).await;
    sleep(Duration::from_millis(100)).await;
    drop(gone);
    sleep(Duration::from_millis(150)).await;
    server.gate.add_permits(2);
    assert!(a.answer().await.unwrap().whole && b.answer().await.unwrap().whole);
    sleep(Duration::from_millis(200)).await;
    assert_eq!(server.requests(), 2);
    // and the room is whole again
    assert!(Client::new(&router.platform).await.call(&large(250)).await.whole);
}

/// Hundreds of clients wait and leave together: from 0.1 s later on no attempt begins for any of them.
#[tokio::test]
async fn no_attempt_begins_after_a_crowd_has_left() {
    // one at a time: all but the first wait for theirs, also after it is done
    let server = peer(|_, _, _| [vec![Step::Sleep(50)], answer("x")].concat()).await;
    let mut one = config(&[("s-a", &server.address, "SERVING")], None);
    one.sockets = 900;
    let router = route(one).await;
    let mut crowd = Vec::new();
    for _ in 0..300 {
        let mut client = Client::new(&router.platform).await;
        client.send(&request("batch-mark", 10_000, "")).await;
        crowd.push(client);
    }
    until("some are at the server", || server.requests() > 0).await;
    drop(crowd);
    sleep(Duration::from_millis(100)).await;
    let begun = server.requests();
    assert!(begun < 300, "all were served: nobody waited");
    sleep(Duration::from_millis(500)).await;
    assert_eq!(server.requests(), begun);
    // and a client that stays is served
    assert_eq!(ask(&router.platform, "batch-mark", 5000).await.head.status, 200);
}
