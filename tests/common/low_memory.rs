//! A router with hardly any memory for bodies, and requests with large ones.

use serde_json::Value;
use stilespan::config::Config;

use super::peers::*;

/// A request with a body of about so many KiB.
pub fn large_request(kib: usize, expires_ms: u64) -> Vec<u8> {
    let body = format!("{{\"messages\":[],\"pad\":\"{}\"}}", "x".repeat(kib << 10));
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nX-Trace-Id: {}\r\nX-Qos: batch-mark\r\n\
         X-Expires-In-Ms: {expires_ms}\r\nContent-Length: {}\r\n\r\n{body}",
        fresh_id(),
        body.len()
    );
    head.into_bytes()
}

/// A server that holds its first two requests until the test opens the gate.
pub async fn gated_server() -> Peer {
    peer(|n, _, _| {
        if n < 2 {
            [vec![Step::Gate], answer("x")].concat()
        } else {
            answer("y")
        }
    })
    .await
}

/// Two clients whose bodies fill the memory; returns once the server has both requests.
pub async fn fill_memory(router: &Router, server: &Peer) -> [Client; 2] {
    let mut clients = [
        Client::new(&router.platform).await,
        Client::new(&router.platform).await,
    ];
    for client in &mut clients {
        client.send(&large_request(250, 10_000)).await;
    }
    until("both are at the server", || server.requests() == 2).await;
    clients
}

/// The configuration of a router with hardly any memory for bodies.
pub fn config(address: &str) -> Config {
    let text = config_text(&[("s-a", address, "SERVING")], None);
    let mut value: Value = serde_json::from_str(&text).unwrap();
    value["limits"]["memory_mb"] = 0.into();
    // the core steps as soon as it has messages: a request is decided on before anything else can
    // arrive
    value["settings"]["period"] = 0.into();
    Config::parse(std::path::Path::new("low memory"), &value.to_string()).unwrap()
}
