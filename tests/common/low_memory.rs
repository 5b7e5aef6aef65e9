//! A router with hardly any memory for bodies, and requests with large ones.

use serde_json::Value;
use stilespan::config::Config;

use super::peers::{Client, Peer, Router, config_text, fresh_id, until};

/// A request with a body of about so many KiB.
pub fn large(kib: usize, expires_ms: u64) -> Vec<u8> {
    let body = format!("{{\"messages\":[],\"pad\":\"{}\"}}", "x".repeat(kib << 10));
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nX-Trace-Id: {}\r\nX-Qos: batch-mark\r\n\
         X-Expires-In-Ms: {expires_ms}\r\nContent-Length: {}\r\n\r\n{body}",
        fresh_id(),
        body.len()
    );
    head.into_bytes()
}

/// Two clients whose bodies fill the memory, once the server holds both.
pub async fn fill(router: &Router, server: &Peer) -> [Client; 2] {
    let mut clients = [
        Client::new(&router.platform).await,
        Client::new(&router.platform).await,
    ];
    for client in &mut clients {
        client.send(&large(250, 10_000)).await;
    }
    until("both are at the server", || server.requests() == 2).await;
    clients
}

/// The configuration of a router that may hold no memory to speak of.
pub fn config(address: &str) -> Config {
    let text = config_text(&[("s-a", address, "SERVING")], None);
    let mut value: Value = serde_json::from_str(&text).unwrap();
    value["limits"]["memory_mb"] = 0.into();
    // steps come as soon as there are messages: a request is decided on before anything else can be
    // heard
    value["settings"]["period"] = 0.into();
    Config::parse(std::path::Path::new("small"), &value.to_string()).unwrap()
}
