//! The endpoint list passes through every process of a router together with its revision, whatever
//! the order of discovery's answers and of the predecessor's lists.

use std::time::Duration;

use rstest::rstest;
use serde_json::{Value, json};

use crate::common::peers::*;
use crate::processes::*;
use crate::scripted_process::ScriptedProcess;

/// The revision of the list with which the process under test starts.
const FIRST_REVISION: u64 = 5;
/// How long the process may take to have a change that discovery or the predecessor has sent.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(8);

/// A process whose predecessor and discovery are scripted.
struct Scene {
    platform: Platform,
    process: Process,
    predecessor: ScriptedProcess,
    discovery: Peer,
    a: Peer,
    b: Peer,
}

impl Scene {
    /// Starts the process with a list in which `s-a` and `s-b` are in service. `answer_first` is
    /// discovery's answer to the first poll, once the gate is open; to later ones it answers with
    /// the changes of `changes` after the revision that is asked for.
    async fn start(answer_first: Vec<Step>, changes: &'static [(u64, &str, &str)]) -> Scene {
        let (a, b) = answering_pair().await;
        let addresses = [a.address.clone(), b.address.clone()];
        let discovery = peer(move |number, head, _| {
            if number == 0 {
                return [vec![Step::Gate], answer_first.clone()].concat();
            }
            answer_changes(&head.target, changes, &addresses)
        })
        .await;
        let hosts = in_service(&a, &b);
        let platform = Platform::new(config_text(&hosts, Some(&discovery.address)));
        let listener = ScriptedProcess::listen(&platform);
        let (mut process, mut predecessor) = (
            platform.start_without_waiting(),
            ScriptedProcess::predecessor(&listener).await,
        );
        let state = json!({"bans": [], "drained": false});
        let reply = json!({"met": {"orders": state, "list": list(FIRST_REVISION, true, &in_service(&a, &b))}});
        predecessor.send(&reply).await;
        predecessor.send(&json!({"share": [100, 100, 1024]})).await;
        process = process.wait_until_listening().await;
        predecessor.receive("ready").await;
        predecessor.send(&"taken".into()).await;
        process.wait_until_ready().await;
        until("the process polls", || discovery.requests() == 1).await;
        Scene {
            platform,
            process,
            predecessor,
            discovery,
            a,
            b,
        }
    }

    /// The predecessor tells of a list in which `s-a` drains.
    async fn predecessor_drains_first(&mut self, revision: u64) {
        let hosts = [
            ("s-a", self.a.address.as_str(), "DRAINING"),
            ("s-b", self.b.address.as_str(), "SERVING"),
        ];
        let message = json!({"list": list(revision, true, &hosts)});
        self.predecessor.send(&message).await;
    }

    /// The list that a successor of the process gets, once it has this revision.
    async fn list_of_successor(&self, revision: u64) -> Value {
        let mut successor = ScriptedProcess::successor(&self.platform).await;
        let mut list = successor.receive("met").await["list"].clone();
        while list["revision"].as_u64() != Some(revision) {
            list = successor
                .receive_within("list", CHANGE_TIMEOUT)
                .await
                .unwrap_or_else(|| panic!("revision {revision} is never told; last: {list}"));
        }
        list
    }
}

fn in_service<'a>(a: &'a Peer, b: &'a Peer) -> [(&'static str, &'a str, &'static str); 2] {
    [
        ("s-a", a.address.as_str(), "SERVING"),
        ("s-b", b.address.as_str(), "SERVING"),
    ]
}

/// Discovery's answer to a poll for the changes after a revision; it never answers if there is none.
fn answer_changes(
    target: &str,
    changes: &'static [(u64, &str, &str)],
    addresses: &[String; 2],
) -> Vec<Step> {
    let after = target.split_once("after=").map_or(0, |(_, rest)| {
        let digits = rest.split('&').next().unwrap_or_default();
        digits.parse().unwrap()
    });
    let later: Vec<_> = changes.iter().filter(|change| change.0 > after).collect();
    let Some(newest) = later.last() else {
        return vec![Step::Hang];
    };
    let hosts: Vec<_> = later
        .iter()
        .map(|(_, name, phase)| {
            let address = &addresses[usize::from(*name == "s-b")];
            (*name, address.as_str(), *phase)
        })
        .collect();
    vec![success(&list(newest.0, false, &hosts).to_string())]
}

/// The names of the endpoints of a list that drain.
fn draining(list: &Value) -> Vec<&str> {
    let endpoints = list["members"].as_array().unwrap();
    endpoints
        .iter()
        .filter(|endpoint| endpoint["phase"] == "DRAINING")
        .map(|endpoint| endpoint["id"].as_str().unwrap())
        .collect()
}

/// Guards against a list of the predecessor that moves the revision alone: a failed poll precedes
/// it, and the next change is then applied to the older list.
#[tokio::test]
async fn list_adopted_between_polls_is_handed_on() {
    static CHANGES: [(u64, &str, &str); 2] = [(6, "s-a", "DRAINING"), (7, "s-b", "DRAINING")];
    let mut scene = Scene::start(plain("503 Busy", ""), &CHANGES).await;
    scene.discovery.gate.add_permits(1);
    scene.process.wait_for_log("poll failed").await;
    scene.predecessor_drains_first(6).await;
    let list = scene.list_of_successor(7).await;
    assert_eq!(draining(&list), ["s-a", "s-b"], "{list}");
}

/// A list of the predecessor crosses the answer to a poll that was sent ahead of it.
#[rstest]
#[case::answer_without_changes(5, None, 6, &["s-a"])]
#[case::older_answer(5, Some(("s-a", "SERVING")), 6, &["s-a"])]
#[case::same_change(6, Some(("s-a", "DRAINING")), 6, &["s-a"])]
#[case::newer_answer(7, Some(("s-b", "DRAINING")), 7, &["s-a", "s-b"])]
#[tokio::test]
async fn list_that_crosses_a_poll_stays_newest(
    #[case] answered: u64,
    #[case] change: Option<(&'static str, &'static str)>,
    #[case] expected_revision: u64,
    #[case] expected: &[&str],
) {
    // the test fills in the address: the servers start with the scene
    let hosts: Vec<_> = change
        .iter()
        .map(|(name, phase)| (*name, "127.0.0.1:9", *phase))
        .collect();
    let answer = success(&list(answered, false, &hosts).to_string());
    let mut scene = Scene::start(vec![answer], &[]).await;
    scene.predecessor_drains_first(6).await;
    scene.list_of_successor(6).await;
    scene.discovery.gate.add_permits(1);
    until("the process polls again", || {
        scene.discovery.requests() >= 2
    })
    .await;
    let list = scene.list_of_successor(expected_revision).await;
    assert_eq!(draining(&list), expected, "{list}");
    let target = scene.discovery.targets()[1].clone();
    assert!(
        target.contains(&format!("after={expected_revision}&")),
        "{target}"
    );
    for _ in 0..5 {
        ask(&scene.platform.clients_address(), "hint", 300).await;
    }
    assert_eq!(scene.a.requests(), 0, "the draining server gets requests");
}
