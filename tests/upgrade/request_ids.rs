//! The processes of a router are one where ids are concerned: an id that is open or answered at one
//! of them is served by no other.

use std::time::Duration;

use serde_json::json;
use tokio::time::{Instant, sleep, timeout};

use crate::common::peers::*;
use crate::processes::*;
use crate::scripted_process::ScriptedProcess;

/// So many ids that both processes accept some of their connections.
const IDS: usize = 24;
const DEADLINE_MS: u64 = 5_000;
/// Longer than any test, so that no request expires behind the gate.
const GATED_DEADLINE_MS: u64 = 20_000;
const RELEASE_TIMEOUT: Duration = Duration::from_secs(1);

/// A model server that answers requests of the class `batch-mark` only once the gate is open.
pub async fn start_gated_server() -> (Peer, String) {
    let server = peer(|_, head, _| {
        let is_gated = head.target.contains("gated");
        let gate = [Step::Gate, Step::Release];
        let wait = is_gated.then_some(gate).into_iter().flatten().collect();
        [wait, answer("x")].concat()
    })
    .await;
    let config = config_text(&[("s-a", &server.address, "SERVING")], None);
    (server, config)
}

fn request_with(id: &str) -> Vec<u8> {
    request_of(id, "hint", DEADLINE_MS, "")
}

/// A request that the server answers once the gate is open.
fn gated_request(id: &str) -> Vec<u8> {
    let request = String::from_utf8(request_of(id, "batch-mark", GATED_DEADLINE_MS, "")).unwrap();
    request.replace("?a=b", "?a=gated").into_bytes()
}

/// Sends requests with fresh ids on new connections, and returns the ids.
pub async fn serve_ids(platform: &Platform) -> Vec<String> {
    let mut ids = Vec::new();
    for _ in 0..IDS {
        let id = fresh_id();
        let answer = call_once(&platform.clients_address(), &request_with(&id)).await;
        assert_eq!(answer.head.status, 200);
        ids.push(id);
    }
    ids
}

/// Asserts that copies of these ids are refused, and that the servers have seen each once.
pub async fn assert_refused(platform: &Platform, servers: &[&Peer], ids: &[String]) {
    for id in ids {
        let answer = call_once(&platform.clients_address(), &request_with(id)).await;
        assert_eq!(answer.head.status, 409, "{id} is served again");
        let requests = servers.iter().map(|server| server.requests_under(id));
        assert_eq!(requests.sum::<usize>(), 1);
    }
}

/// Opens requests that stay unanswered until the gate is open.
pub async fn open_requests(platform: &Platform, server: &Peer) -> (Vec<Client>, Vec<String>) {
    let (mut clients, mut ids) = (Vec::new(), Vec::new());
    for _ in 0..IDS {
        let id = fresh_id();
        let mut client = Client::new(&platform.clients_address()).await;
        client.send(&gated_request(&id)).await;
        clients.push(client);
        ids.push(id);
    }
    until("the server has the requests", || server.in_flight() == IDS).await;
    (clients, ids)
}

/// Guards against ids that the new process does not know: those that are open at the old one, and
/// those that it answered just before.
#[tokio::test]
async fn ids_of_the_old_process_stay_taken() {
    let (server, config) = start_gated_server().await;
    let platform = Platform::new(config);
    let old = platform.start().await;
    old.wait_until_ready().await;
    let answered = serve_ids(&platform).await;
    let (mut clients, open) = open_requests(&platform, &server).await;
    let new = platform.start().await;
    new.wait_until_ready().await;
    assert_refused(&platform, &[&server], &open).await;
    old.signal("TERM");
    assert_refused(&platform, &[&server], &open).await;
    assert_refused(&platform, &[&server], &answered).await;
    server.gate.add_permits(1);
    for client in &mut clients {
        let answer = client.answer().await.unwrap();
        assert_eq!(answer.head.status, 200, "{answer:?}");
    }
    assert_eq!(old.wait_for_exit().await, Some(0));
    assert_refused(&platform, &[&server], &open).await;
}

/// The other direction: a client on a connection of the old process sends ids that the new process
/// has served.
#[tokio::test]
async fn ids_of_the_new_process_stay_taken() {
    let (server, config) = start_gated_server().await;
    let platform = Platform::new(config);
    let old = platform.start().await;
    old.wait_until_ready().await;
    let mut client = Client::new(&platform.clients_address()).await;
    assert_eq!(
        client.call(&request_with(&fresh_id())).await.head.status,
        200
    );
    let new = platform.start().await;
    new.wait_until_ready().await;
    let ids = serve_ids(&platform).await;
    // an id that nobody has sent is served on the old connection, and then taken at both processes
    let fresh = fresh_id();
    assert_eq!(client.call(&request_with(&fresh)).await.head.status, 200);
    assert_refused(&platform, &[&server], &[fresh]).await;
    assert_eq!(client.call(&request_with(&ids[0])).await.head.status, 409);
    for id in &ids[1..] {
        // the router closes the connection after a 409; the platform's front opens another one
        let answer = call_once(&platform.clients_address(), &request_with(id)).await;
        assert_eq!(answer.head.status, 409);
    }
    assert!(ids.iter().all(|id| server.requests_under(id) == 1));
}

/// The replacement fails after the new process has served: the old one goes on and knows its ids.
#[tokio::test]
async fn failed_replacement_leaves_ids_taken() {
    let (server, config) = start_gated_server().await;
    let platform = Platform::new(config);
    let old = platform.start().await;
    old.wait_until_ready().await;
    let mut ids = serve_ids(&platform).await;
    let new = platform.start().await;
    new.wait_until_ready().await;
    ids.extend(serve_ids(&platform).await);
    sleep(Duration::from_millis(50)).await;
    new.signal("KILL");
    new.wait_for_exit().await;
    old.wait_for_log("has exited; this process goes on serving")
        .await;
    assert_refused(&platform, &[&server], &ids).await;
    serve_ids(&platform).await;
}

/// Two replacements in a row while the first process still has requests open.
#[tokio::test]
async fn ids_survive_two_replacements() {
    let (server, config) = start_gated_server().await;
    let platform = Platform::new(config);
    let first = platform.start().await;
    first.wait_until_ready().await;
    let (mut clients, mut ids) = open_requests(&platform, &server).await;
    let second = platform.start().await;
    second.wait_until_ready().await;
    first.signal("TERM");
    ids.extend(serve_ids(&platform).await);
    let third = platform.start().await;
    third.wait_until_ready().await;
    second.signal("TERM");
    assert_refused(&platform, &[&server], &ids).await;
    server.gate.add_permits(1);
    for client in &mut clients {
        let answer = client.answer().await.unwrap();
        assert_eq!(answer.head.status, 200, "{answer:?}");
    }
    for process in [first, second] {
        assert_eq!(process.wait_for_exit().await, Some(0));
    }
    assert_refused(&platform, &[&server], &ids).await;
}

/// An id that no model server has seen is free again, at each process.
#[tokio::test]
async fn unsent_id_is_free_at_both_processes() {
    let (server, _) = start_gated_server().await;
    let platform = Platform::new(config_text(&[("s-a", &server.address, "DRAINING")], None));
    let old = platform.start().await;
    old.wait_until_ready().await;
    let mut client = Client::new(&platform.clients_address()).await;
    let health = b"GET /_health HTTP/1.1\r\n\r\n";
    assert_eq!(client.call(health).await.head.status, 200);
    let id = fresh_id();
    let text = request_of(&id, "hint", 300, "");
    let new = platform.start().await;
    new.wait_until_ready().await;
    assert_eq!(client.call(&text).await.head.status, 503);
    for _ in 0..IDS {
        // the other process learns of the release a moment after the client
        timeout(RELEASE_TIMEOUT, async {
            let address = platform.clients_address();
            while call_once(&address, &text).await.head.status != 503 {
                sleep(Duration::from_millis(1)).await;
            }
        })
        .await
        .expect("the id does not stay in use");
    }
}

/// A new process that does not answer costs a request of the old one no more than a rejection in
/// time, and nothing is sent for it.
#[tokio::test]
async fn silent_owner_of_ids_causes_rejection() {
    let (server, config) = start_gated_server().await;
    let platform = Platform::new(config);
    let old = platform.start().await;
    old.wait_until_ready().await;
    let mut client = Client::new(&platform.clients_address()).await;
    let first = client.call(&request_with(&fresh_id())).await;
    assert_eq!(first.head.status, 200);
    let mut new = ScriptedProcess::successor_with(&platform, &json!({"shares_ids": true})).await;
    new.receive("met").await;
    new.send(&"ready".into()).await;
    new.receive("taken").await;
    let id = fresh_id();
    let sent_at = Instant::now();
    assert_eq!(client.call(&request_with(&id)).await.head.status, 503);
    assert!(
        sent_at.elapsed() < Duration::from_secs(1),
        "{:?}",
        sent_at.elapsed()
    );
    assert_eq!(server.requests_under(&id), 0);
    drop(new);
    old.wait_for_log("has exited; this process goes on serving")
        .await;
    let answer = call_once(&platform.clients_address(), &request_with(&id)).await;
    assert_eq!(answer.head.status, 200);
}
