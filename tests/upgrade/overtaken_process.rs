//! A new process that is held up while a second one takes over from the same predecessor. When it
//! goes on, it is one router with the process that serves.

use std::time::Duration;

use rstest::rstest;
use tokio::time::sleep;

use crate::common::peers::*;
use crate::processes::*;
use crate::request_ids::{assert_refused, open_requests, serve_ids, start_gated_server};

const REQUESTS: usize = 10;
/// Longer than a connected process needs to write its hello.
const HELLO_TIME: Duration = Duration::from_millis(50);

/// The number of Unix sockets with a path in the router's folder: those that listen, and one for each
/// connection to them.
fn sockets_in_folder(platform: &Platform) -> usize {
    let folder = platform.folder.path("");
    let sockets = std::fs::read_to_string("/proc/net/unix").unwrap();
    sockets
        .lines()
        .filter(|line| line.contains(folder.to_str().unwrap()))
        .count()
}

/// Starts a process that stands still once it is connected to its predecessor, before it has read
/// the predecessor's reply.
async fn start_held_up(platform: &Platform, predecessor: &Process) -> Process {
    predecessor.signal("STOP");
    let sockets = sockets_in_folder(platform);
    let process = platform.start_without_waiting();
    until("connected", || sockets_in_folder(platform) > sockets).await;
    sleep(HELLO_TIME).await;
    process.signal("STOP");
    predecessor.signal("CONT");
    predecessor
        .wait_for_log("a successor process has connected")
        .await;
    process
}

async fn stop(process: Process) {
    process.signal("TERM");
    assert_eq!(process.wait_for_exit().await, Some(0));
}

async fn ask_for_answers(platform: &Platform) {
    for _ in 0..REQUESTS {
        ask(&platform.clients_address(), "hint", 300).await;
    }
}

/// Asserts that two processes that serve are one router: copies of served ids are refused, and each
/// process has the commands of the other, also after `ending` has exited.
async fn assert_one_router(
    platform: &Platform,
    servers: [&Peer; 2],
    mut ids: Vec<String>,
    staying: &Process,
    ending: Process,
) {
    ids.extend(serve_ids(platform).await);
    assert_refused(platform, &servers, &ids).await;
    assert_eq!(ending.post("/model-servers/disable?name=s-a").await, 200);
    assert_eq!(staying.post("/model-servers/disable?name=s-b").await, 200);
    ask_for_answers(platform).await;
    stop(ending).await;
    ask_for_answers(platform).await;
    let requests: usize = servers.iter().map(|server| server.requests()).sum();
    assert_eq!(requests, ids.len(), "a banned server gets requests");
    assert_refused(platform, &servers, &ids).await;
    assert_eq!(staying.post("/model-servers/enable?name=s-a").await, 200);
    assert!(ask(&platform.clients_address(), "hint", 1000).await.whole);
}

/// Guards against a process that serves beside another one and shares nothing with it: each would
/// serve the other's ids again and would not know of the commands that the other confirmed.
#[rstest]
#[case::after_the_predecessor_has_exited(true)]
#[case::beside_the_predecessor(false)]
#[tokio::test]
async fn overtaken_process_joins_the_one_that_serves(#[case] predecessor_exits_first: bool) {
    let (a, b, config) = start_two_servers().await;
    let platform = Platform::new(config);
    let mut predecessor = Some(platform.start().await);
    predecessor.as_ref().unwrap().wait_until_ready().await;
    let overtaken = start_held_up(&platform, predecessor.as_ref().unwrap()).await;
    let serving = platform.start().await;
    serving.wait_until_ready().await;
    let ids = serve_ids(&platform).await;
    if predecessor_exits_first {
        stop(predecessor.take().unwrap()).await;
    }
    overtaken.signal("CONT");
    let overtaken = overtaken.wait_until_listening().await;
    overtaken.wait_until_ready().await;
    if let Some(predecessor) = predecessor {
        stop(predecessor).await;
    }
    assert_one_router(&platform, [&a, &b], ids, &serving, overtaken).await;
}

/// Two replacements at once, in whichever order they take over.
#[tokio::test]
async fn processes_that_start_at_once_are_one_router() {
    let (a, b, config) = start_two_servers().await;
    let platform = Platform::new(config);
    let predecessor = platform.start().await;
    predecessor.wait_until_ready().await;
    let ids = serve_ids(&platform).await;
    let (one, other) = tokio::join!(platform.start(), platform.start());
    one.wait_until_ready().await;
    other.wait_until_ready().await;
    stop(predecessor).await;
    assert_one_router(&platform, [&a, &b], ids, &one, other).await;
}

/// Guards against a process whose predecessor fails while it starts: it belongs to the process
/// before that, which serves again.
#[rstest]
#[case::at_once(false)]
#[case::held_up(true)]
#[tokio::test]
async fn successor_of_a_failed_process_joins_the_first(#[case] is_held_up: bool) {
    let (a, b, config) = start_two_servers().await;
    let platform = Platform::new(config);
    let first = platform.start().await;
    first.wait_until_ready().await;
    let failing = platform.start().await;
    failing.wait_until_ready().await;
    let ids = serve_ids(&platform).await;
    let last = start_held_up(&platform, &failing).await;
    if !is_held_up {
        last.signal("CONT");
    }
    failing.signal("KILL");
    if is_held_up {
        first
            .wait_for_log("has exited; this process goes on serving")
            .await;
        last.signal("CONT");
    }
    let last = last.wait_until_listening().await;
    last.wait_until_ready().await;
    assert_one_router(&platform, [&a, &b], ids, &first, last).await;
}

/// Guards against a process that starts after a failed one and knows nothing of the process before
/// that, which still answers its last requests.
#[tokio::test]
async fn process_after_a_failed_one_joins_the_first() {
    let (server, config) = start_gated_server().await;
    let platform = Platform::new(config);
    let first = platform.start().await;
    first.wait_until_ready().await;
    let (mut clients, mut ids) = open_requests(&platform, &server).await;
    let failing = platform.start().await;
    failing.wait_until_ready().await;
    first.signal("TERM");
    ids.extend(serve_ids(&platform).await);
    failing.signal("KILL");
    first.wait_for_log("the successor process has exited").await;
    let last = platform.start().await;
    last.wait_until_ready().await;
    assert_refused(&platform, &[&server], &ids).await;
    server.gate.add_permits(1);
    for client in &mut clients {
        assert_eq!(client.answer().await.unwrap().head.status, 200);
    }
    assert_eq!(first.wait_for_exit().await, Some(0));
    assert_refused(&platform, &[&server], &ids).await;
}
