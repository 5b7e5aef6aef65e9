//! A command that an operator gets a yes for is known to every process of the router, whenever in a
//! replacement it is given.

use std::time::Duration;

use rstest::rstest;
use serde_json::{Value, json};
use tokio::time::sleep;

use crate::common::peers::*;
use crate::processes::*;
use crate::scripted_process::ScriptedProcess;

/// Longer than a process waits for the reply of its predecessor.
const LATE_REPLY: Duration = Duration::from_millis(800);
/// How long a command that must not wait for a silent process may take.
const MAX_COMMAND_TIME: Duration = Duration::from_secs(1);

/// A configuration whose list names `size` servers: `s-a`, `s-b`, and others that drain.
fn config_of_fleet(a: &Peer, b: &Peer, size: usize) -> String {
    let names: Vec<String> = (2..size).map(|number| format!("s-{number:08x}")).collect();
    let mut hosts = vec![
        ("s-a", a.address.as_str(), "SERVING"),
        ("s-b", b.address.as_str(), "SERVING"),
    ];
    hosts.extend(
        names
            .iter()
            .map(|name| (name.as_str(), "127.0.0.1:9", "DRAINING")),
    );
    config_text(&hosts, None)
}

async fn start_process(size: usize) -> (Platform, Process) {
    let (a, b) = answering_pair().await;
    let platform = Platform::new(config_of_fleet(&a, &b, size));
    let process = platform.start().await;
    process.wait_until_ready().await;
    (platform, process)
}

/// Guards against an exclusion that is confirmed between the successor's copy of the state and its
/// registration: a large reply waits for a slow successor.
#[rstest]
#[case::smallest_fleet(5)]
#[case::fleet_below_the_socket_buffer(400)]
#[case::fleet_beyond_the_socket_buffer(1_600)]
#[case::largest_fleet(3_200)]
#[tokio::test]
async fn command_beside_the_reply_reaches_the_successor(#[case] size: usize) {
    let (platform, process) = start_process(size).await;
    let mut successor = ScriptedProcess::successor(&platform).await;
    process
        .wait_for_log("a successor process has connected")
        .await;
    let answer = process.post("/model-servers/disable?name=s-a");
    let received = async {
        // the successor is held up, and reads nothing meanwhile
        sleep(Duration::from_millis(120)).await;
        let state = successor.receive("met").await;
        let is_listed = state["orders"]["bans"].to_string().contains("s-a");
        if is_listed {
            return true;
        }
        let call = successor.receive_within("call", LATE_REPLY).await;
        if let Some(call) = &call {
            successor.confirm(call).await;
        }
        call.is_some_and(|call| call["call"] == json!({"disable": "s-a"}))
    };
    let (status, received) = tokio::join!(answer, received);
    assert_eq!(status, 200);
    assert!(received, "the successor never learns of the exclusion");
}

/// A successor that stays silent delays no command, and has it before it may serve. Once it serves,
/// a command that it does not confirm gets no yes.
#[tokio::test]
async fn silent_successor_has_commands_before_it_serves() {
    let (platform, process) = start_process(3_200).await;
    let mut successor = ScriptedProcess::successor(&platform).await;
    process
        .wait_for_log("a successor process has connected")
        .await;
    assert_eq!(process.post("/model-servers/disable?name=s-a").await, 200);
    assert_eq!(process.post("/model-servers/disable?name=s-b").await, 200);
    successor.send(&"ready".into()).await;
    let mut excluded = successor.receive("met").await["orders"]["bans"].to_string();
    loop {
        let message = successor.next_message().await;
        if message == "taken" {
            break;
        }
        excluded.push_str(&message["call"]["call"].to_string());
    }
    assert!(
        excluded.contains("s-a") && excluded.contains("s-b"),
        "{excluded}"
    );
    let sent_at = tokio::time::Instant::now();
    assert_eq!(process.post("/drain").await, 503);
    assert!(sent_at.elapsed() < MAX_COMMAND_TIME);
    assert_eq!(successor.receive("call").await["call"], "drain");
}

/// The predecessor confirms a command and is killed before its successor has it: the successor
/// starts with it.
#[tokio::test]
async fn confirmed_command_outlives_a_killed_predecessor() {
    let (a, b) = answering_pair().await;
    let platform = Platform::new(config_of_fleet(&a, &b, 3_200));
    let predecessor = platform.start().await;
    predecessor.wait_until_ready().await;
    for name in ["s-a", "s-b"] {
        let successor = platform.start_without_waiting();
        predecessor
            .wait_for_log("a successor process has connected")
            .await;
        successor.signal("STOP");
        let disable = format!("/model-servers/disable?name={name}");
        let status = predecessor.post(&disable).await;
        if name == "s-a" {
            // this successor fails, and the predecessor goes on
            successor.signal("KILL");
            assert_eq!(status, 200);
            continue;
        }
        assert_eq!(status, 200);
        predecessor.signal("KILL");
        successor.signal("CONT");
        let successor = successor.wait_until_listening().await;
        successor.wait_until_ready().await;
        for _ in 0..5 {
            ask(&platform.clients_address(), "hint", 300).await;
        }
        assert_eq!((a.requests(), b.requests()), (0, 0));
    }
}

/// Guards against a command of one process that ends at the process between it and a third one.
#[tokio::test]
async fn command_of_a_successor_reaches_the_others() {
    let (platform, process) = start_process(5).await;
    let mut first = ScriptedProcess::successor(&platform).await;
    let mut second = ScriptedProcess::successor(&platform).await;
    first.receive("met").await;
    second.receive("met").await;
    second.send(&"ready".into()).await;
    second.receive("taken").await;
    let command = json!({"call": {"id": 1, "call": {"disable": "s-a"}, "key": 7}});
    first.send(&command).await;
    let call = second.receive("call").await;
    assert_eq!(call["call"], json!({"disable": "s-a"}));
    let early = first
        .receive_within("done", Duration::from_millis(50))
        .await;
    assert_eq!(early, None, "confirmed ahead of the third process");
    second.confirm(&call).await;
    let done = first.receive("done").await;
    assert_eq!(done["done"], Value::Bool(true), "{done}");
    // a copy on another way is confirmed, and told no further
    first.send(&command).await;
    assert_eq!(first.receive("done").await["done"], Value::Bool(true));
    let again = second.receive_within("call", LATE_REPLY).await;
    assert_eq!(again, None);
    drop(process);
}

/// Guards against a reply that is ignored because it came late: the process would serve without the
/// predecessor's bans and list.
#[tokio::test]
async fn late_reply_of_a_predecessor_is_adopted() {
    let (a, b) = answering_pair().await;
    // discovery stays silent: only the predecessor knows its latest list
    let discovery = peer(|_, _, _| vec![Step::Hang]).await;
    let hosts = [
        ("s-a", a.address.as_str(), "SERVING"),
        ("s-b", b.address.as_str(), "SERVING"),
    ];
    let platform = Platform::new(config_text(&hosts, Some(&discovery.address)));
    let listener = ScriptedProcess::listen(&platform);
    let serve_successor = async {
        let mut predecessor = ScriptedProcess::predecessor(&listener).await;
        sleep(LATE_REPLY).await;
        let hosts = [
            ("s-a", a.address.as_str(), "SERVING"),
            ("s-b", b.address.as_str(), "DRAINING"),
        ];
        let state = json!({"bans": [{"name": "s-a", "since": 5}], "drained": false});
        let reply = json!({"met": {"orders": state, "list": list(7, true, &hosts)}});
        predecessor.send(&reply).await;
        predecessor.receive("ready").await;
        predecessor.send(&"taken".into()).await;
        predecessor
    };
    let (process, _predecessor) = tokio::join!(platform.start(), serve_successor);
    process.wait_until_ready().await;
    sleep(Duration::from_millis(100)).await;
    for _ in 0..5 {
        ask(&platform.clients_address(), "hint", 300).await;
    }
    assert_eq!(a.requests(), 0, "the banned server gets requests");
    assert_eq!(b.requests(), 0, "the draining server gets requests");
}

/// Two replacements in a row while the first process still answers: a command at any of the three
/// is in effect at all of them.
#[rstest]
#[case::at_the_oldest(0)]
#[case::at_the_middle(1)]
#[case::at_the_newest(2)]
#[tokio::test]
async fn command_reaches_all_of_three_processes(#[case] commanded: usize) {
    let (a, _, config) = start_two_servers().await;
    let platform = Platform::new(config);
    let mut processes = Vec::new();
    for _ in 0..3 {
        let process = platform.start().await;
        process.wait_until_ready().await;
        processes.push(process);
    }
    let disable = "/model-servers/disable?name=s-a";
    assert_eq!(processes[commanded].post(disable).await, 200);
    for _ in 0..2 {
        for _ in 0..10 {
            assert!(ask(&platform.clients_address(), "hint", 1000).await.whole);
        }
        let oldest = processes.remove(0);
        oldest.signal("TERM");
        assert_eq!(oldest.wait_for_exit().await, Some(0));
    }
    for _ in 0..10 {
        assert!(ask(&platform.clients_address(), "hint", 1000).await.whole);
    }
    assert_eq!(a.requests(), 0);
}
