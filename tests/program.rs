//! The program as it is started: messages about invalid files, signals, and its graceful shutdown.

mod common;

use std::fs;
use std::io::{BufReader, Read};
use std::process::Output;
use std::sync::atomic::Ordering;

use common::peers::*;
use common::process::*;
use rstest::rstest;

fn error_output(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

#[rstest]
#[case::not_json("json", "{", "line 1")]
#[case::no_classes("classes", r#"{"name": "n0", "listen": "127.0.0.1:0"}"#, "settings")]
fn invalid_configuration_is_reported(
    #[case] name: &str,
    #[case] text: &str,
    #[case] expected: &str,
) {
    let file = Scratch::new(name, text);
    for command in ["serve", "check"] {
        let output = program()
            .args([command, "--config"])
            .arg(&file.0)
            .output()
            .unwrap();
        let message = error_output(&output);
        assert_eq!(output.status.code(), Some(1), "{message}");
        assert!(
            message.starts_with("stilespan: ")
                && message.contains(expected)
                && !message.contains("panicked"),
            "{message}"
        );
    }
}

#[test]
fn missing_configuration_is_reported() {
    let output = program()
        .args(["serve", "--config", "/nowhere/at.json"])
        .output()
        .unwrap();
    assert_eq!(output.status.code(), Some(1));
    assert!(
        error_output(&output).contains("/nowhere/at.json"),
        "{}",
        error_output(&output)
    );
}

/// Ends the program and gives its exit code and the rest of its log.
async fn end(
    mut child: Running,
    mut log: BufReader<std::process::ChildStderr>,
) -> (Option<i32>, String) {
    signal("TERM", &child);
    tokio::task::spawn_blocking(move || {
        let mut rest = String::new();
        log.read_to_string(&mut rest).unwrap();
        (child.0.wait().unwrap().code(), rest)
    })
    .await
    .unwrap()
}

#[test]
fn check_prints_operators_address() {
    let file = Scratch::new("admin", &config_text(&[], None));
    for (given, expected) in [
        (None, "127.0.0.1:0"),
        (Some("127.0.0.1:9090"), "127.0.0.1:9090"),
    ] {
        let mut command = program();
        command
            .args(["check", "--config"])
            .arg(&file.0)
            .env_remove("GW_ADMIN");
        command.envs(given.map(|at| ("GW_ADMIN", at)));
        let output = command.output().unwrap();
        let message = String::from_utf8_lossy(&output.stdout).into_owned();
        assert!(
            message.contains(&format!("operators' address: {expected}\n")),
            "{message}"
        );
    }
}

#[tokio::test]
async fn sigterm_answers_accepted_requests() {
    let slow = [vec![Step::Sleep(150)], answer("x")].concat();
    let server = peer(move |_, _, _| slow.clone()).await;
    let file = Scratch::new(
        "serve",
        &config_text(&[("s-a", &server.address, "SERVING")], None),
    );
    let (child, address, log) = serve(&file).await;
    let mut busy = Client::new(&address).await;
    busy.send(&request("hint", 1000, "")).await;
    until("the request is there", || server.requests() == 1).await;
    let ended = tokio::spawn(end(child, log));
    assert!(busy.answer().await.unwrap().whole);
    let (status, rest) = ended.await.unwrap();
    assert_eq!(status, Some(0), "{rest}");
}

/// SIGTERM between two SIGHUPs, and SIGTERM to a process that is not ready: each ends as a single
/// SIGTERM does.
#[tokio::test]
async fn repeated_signals_end_with_0() {
    let slow = [vec![Step::Sleep(300)], answer("x")].concat();
    let server = peer(move |_, _, _| slow.clone()).await;
    let discovery = peer(|_, _, _| vec![Step::Hang]).await;
    let hosts = [("s-a", server.address.as_str(), "SERVING")];
    let file = Scratch::new("twice", &config_text(&hosts, Some(&discovery.address)));
    let (child, address, log) = serve(&file).await;
    let mut busy = Client::new(&address).await;
    busy.send(&request("hint", 1000, "")).await;
    until("the request is there", || server.requests() == 1).await;
    for name in ["HUP", "TERM", "HUP"] {
        signal(name, &child);
    }
    let ended = tokio::spawn(end(child, log));
    assert!(busy.answer().await.unwrap().whole);
    let (status, rest) = ended.await.unwrap();
    assert_eq!(status, Some(0), "{rest}");
    // without an endpoint list and without discovery it can't become ready
    let mut bare: serde_json::Value =
        serde_json::from_str(&config_text(&[], Some("127.0.0.1:1"))).unwrap();
    bare.as_object_mut().unwrap().remove("known");
    let file = Scratch::new("unready", &bare.to_string());
    let (child, _, log) = serve(&file).await;
    let (status, rest) = end(child, log).await;
    assert_eq!(status, Some(0), "{rest}");
}

/// SIGHUP under load: an invalid file changes nothing, a valid one moves the watch to the new
/// address and fetches the complete list, though a call is in flight at the old one. Requests in
/// flight go on.
#[tokio::test]
async fn sighup_applies_only_valid_configuration() {
    let slow = [vec![Step::Gate, Step::Release], answer("a")].concat();
    let (a, b) = (
        peer(move |_, _, _| slow.clone()).await,
        peer(|_, _, _| answer("b")).await,
    );
    let old = peer(|_, _, _| vec![Step::Hang]).await;
    // the new service counts its revisions from the start, and knows one server alone
    let known = list(1, true, &[("s-b", &b.address, "SERVING")]).to_string();
    let new = peer(move |n, _, _| {
        if n == 0 {
            vec![success(&known)]
        } else {
            vec![Step::Hang]
        }
    })
    .await;
    let hosts = [("s-a", a.address.as_str(), "SERVING")];
    let file = Scratch::new("hup", &config_text(&hosts, Some(&old.address)));
    let (child, address, log) = serve(&file).await;
    until("the watch", || old.requests() == 1).await;
    let mut busy = Client::new(&address).await;
    busy.send(&request("batch-mark", 10_000, "")).await;
    until("the request is there", || a.requests() == 1).await;
    fs::write(&file.0, "{\"discovery\": ").unwrap();
    signal("HUP", &child);
    tokio::time::sleep(std::time::Duration::from_millis(200)).await;
    assert_eq!((old.dropped.load(Ordering::SeqCst), new.requests()), (0, 0));
    fs::write(&file.0, config_text(&hosts, Some(&new.address))).unwrap();
    signal("HUP", &child);
    until("the new watch", || new.requests() == 2).await;
    until("the old watch is cancelled", || {
        old.dropped.load(Ordering::SeqCst) == 1
    })
    .await;
    let targets = new.targets();
    assert_eq!(targets[0], "/catalog/members");
    assert!(
        targets[1].starts_with("/catalog/members?after=1&wait_ms="),
        "{targets:?}"
    );
    assert!(ask(&address, "hint", 1000).await.body.contains("\"b\""));
    a.gate.add_permits(1);
    assert!(busy.answer().await.unwrap().body.contains("\"a\""));
    let (status, rest) = end(child, log).await;
    assert_eq!(status, Some(0));
    assert!(
        rest.contains("SIGHUP: ") && rest.contains("the running configuration stays in force"),
        "{rest}"
    );
}
