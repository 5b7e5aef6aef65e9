//! A replacement at the least limits, while clients hold all connections that the platform lets them
//! open: a third of the descriptors.

use std::time::Duration;

use futures_util::future::join_all;
use rstest::rstest;
use serde_json::Value;
use tokio::time::{Instant, sleep, timeout};

use crate::common::memory_peak::MemoryPeak;
use crate::common::peers::*;
use crate::processes::*;
use crate::scripted_process::ScriptedProcess;

const MEMORY_MIB: u64 = 32;
/// The clients that ask for short answers.
const HINT_CLIENTS: usize = 8;
const HINT_DEADLINE_MS: u64 = 1_500;
/// By the rules of the platform an answer that arrives later is lost.
const LATE_AFTER: Duration = Duration::from_millis(HINT_DEADLINE_MS + 500);
const PAUSE: Duration = Duration::from_millis(20);
/// How long hints are asked for, from before the replacement until after it.
const PLAY_TIME: Duration = Duration::from_secs(3);

/// A server whose answers to `batch-mark` requests stay open until the gate is open.
async fn start_streaming_server() -> Peer {
    peer(|_, head, _| {
        if head
            .get("x-trace-id")
            .is_some_and(|id| id.starts_with("long"))
        {
            let first = Step::Write(format!("{STREAM}{}", chunk(&event("x"))));
            let last = Step::Write(format!("{}{LAST}", chunk(DONE)));
            vec![first, Step::Gate, Step::Release, last]
        } else {
            answer("y")
        }
    })
    .await
}

fn config_with(address: &str, descriptors: usize) -> String {
    let text = config_text(&[("s-a", address, "SERVING")], None);
    let mut config: Value = serde_json::from_str(&text).unwrap();
    config["limits"]["memory_mb"] = MEMORY_MIB.into();
    config["limits"]["sockets"] = descriptors.into();
    config.to_string()
}

/// Opens long answers, and waits until each has begun.
async fn open_streams(platform: &Platform, server: &Peer, count: usize) -> Vec<Client> {
    let mut clients = Vec::new();
    for number in 0..count {
        let mut client = Client::new(&platform.clients_address()).await;
        let id = format!("long-{number}");
        let request = request_of(&id, "batch-mark", 10_000, "Connection: close\r\n");
        client.send(&request).await;
        clients.push(client);
    }
    until("all streams have begun", || server.requests() == count).await;
    clients
}

/// Asks for short answers on new connections, and returns their statuses.
async fn ask_hints(address: &str) -> Vec<u16> {
    let mut statuses = Vec::new();
    let start = Instant::now();
    while start.elapsed() < PLAY_TIME {
        let answer = ask(address, "hint", HINT_DEADLINE_MS);
        let answer = timeout(LATE_AFTER, answer)
            .await
            .expect("an answer in time");
        statuses.push(answer.head.status);
        sleep(PAUSE).await;
    }
    statuses
}

/// Guards against a replacement that has no room for the clients that are connected: each hint gets
/// its answer in time, most are served, and both processes together stay within the memory.
#[rstest]
#[case::least_memory(1_024)]
#[case::least_limits(256)]
#[tokio::test]
async fn replacement_at_the_least_limits_answers_all(#[case] descriptors: usize) {
    let streams = descriptors / 3 - HINT_CLIENTS;
    let server = start_streaming_server().await;
    let platform = Platform::new(config_with(&server.address, descriptors));
    let old = platform.start().await;
    old.wait_until_ready().await;
    let old_memory = MemoryPeak::watch(old.pid());
    let mut clients = open_streams(&platform, &server, streams).await;
    let address = platform.clients_address();
    let hints = join_all((0..HINT_CLIENTS).map(|_| ask_hints(&address)));
    let replacement = async {
        sleep(PLAY_TIME / 6).await;
        let new = platform.start().await;
        let new_memory = MemoryPeak::watch(new.pid());
        new.wait_until_ready().await;
        old.signal("TERM");
        (new, new_memory)
    };
    let (statuses, (_new, new_memory)) = tokio::join!(hints, replacement);
    let statuses = statuses.concat();
    let served = statuses.iter().filter(|status| **status == 200).count();
    let peaks = [old_memory.mib(), new_memory.mib()];
    println!("{served} of {} served; {peaks:?} MiB", statuses.len());
    server.gate.add_permits(1);
    for client in &mut clients {
        assert!(client.answer().await.unwrap().whole);
    }
    assert_eq!(old.wait_for_exit().await, Some(0));
    assert!(statuses.iter().all(|status| [200, 503].contains(status)));
    assert!(
        served * 2 > statuses.len(),
        "{served} of {}",
        statuses.len()
    );
    assert!(peaks.iter().sum::<u64>() < MEMORY_MIB, "{peaks:?} MiB");
}

/// Guards against a successor that takes the limits of the process that serves: it starts slowly,
/// and until it serves the other one needs the room for its clients.
#[tokio::test]
async fn slow_successor_leaves_room_for_clients() {
    let descriptors = 256;
    let server = start_streaming_server().await;
    let platform = Platform::new(config_with(&server.address, descriptors));
    let process = platform.start().await;
    process.wait_until_ready().await;
    let _clients = open_streams(&platform, &server, descriptors / 3 - HINT_CLIENTS).await;
    let mut successor = ScriptedProcess::successor(&platform).await;
    successor.receive("share").await;
    let address = platform.clients_address();
    let statuses = join_all((0..HINT_CLIENTS).map(|_| ask_hints(&address))).await;
    let statuses = statuses.concat();
    let served = statuses.iter().filter(|status| **status == 200).count();
    println!("{served} of {} served", statuses.len());
    assert!(
        served * 10 > statuses.len() * 9,
        "{served} of {}",
        statuses.len()
    );
}
