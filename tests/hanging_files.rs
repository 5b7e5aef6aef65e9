//! Files that hang when they are read: the router goes on serving, and ends when it is told to.
//! FIFOs without a writer stand for them.

mod common;

use std::fs;
use std::path::Path;
use std::process::Command;
use std::time::Duration;

use common::peers::*;
use common::process::{Running, Scratch, program, serve, signal};
use tokio::time::{Instant, sleep, timeout};

const REQUESTS: usize = 10;
/// Time in which the program has begun to read a changed file.
const NOTICE_TIME: Duration = Duration::from_millis(1000);

/// Replaces a file by one whose reader waits for ever.
fn make_hang(path: &Path) {
    let _ = fs::remove_file(path);
    assert!(Command::new("mkfifo").arg(path).status().unwrap().success());
}

async fn assert_served(address: &str) {
    for number in 0..REQUESTS {
        let got = timeout(Duration::from_secs(5), ask(address, "hint", 1500)).await;
        let status = got.map(|got| got.head.status);
        assert_eq!(status, Ok(200), "request {number}");
    }
}

async fn assert_ends(mut process: Running) {
    signal("TERM", &process);
    let start = Instant::now();
    while process.0.try_wait().unwrap().is_none() {
        assert!(start.elapsed() < Duration::from_secs(5), "it does not end");
        sleep(Duration::from_millis(20)).await;
    }
}

#[tokio::test]
async fn hanging_configuration_stops_nothing() {
    let server = peer(|_, _, _| answer("x")).await;
    let text = config_text(&[("s-a", &server.address, "SERVING")], None);
    let file = Scratch::new("hanging-config", &text);
    let (process, address, _log) = serve(&file).await;
    make_hang(&file.0);
    signal("HUP", &process);
    sleep(NOTICE_TIME).await;
    signal("HUP", &process);
    assert_served(&address).await;
    assert_ends(process).await;
}

#[tokio::test]
async fn hanging_inventory_stops_nothing() {
    let server = peer(|_, _, _| answer("x")).await;
    let (host, port) = server.address.split_once(':').unwrap();
    let inventory = format!("all:\n  hosts:\n    s-a: {{address: {host}, port: {port}}}\n");
    let inventory = Scratch::new("hanging-inventory.yaml", &inventory);
    let file = Scratch::new("inventory-config", &config_text(&[], None));
    let mut command = program();
    command.arg("serve").arg("--inventory").arg(&inventory.0);
    let (process, address, _log) = common::process::serve_command(command, &file).await;
    until_ready(&address).await;
    make_hang(&inventory.0);
    sleep(NOTICE_TIME).await;
    assert_served(&address).await;
    assert_ends(process).await;
}

async fn until_ready(address: &str) {
    let start = Instant::now();
    while health_status(address).await != 200 {
        assert!(start.elapsed() < Duration::from_secs(20), "it is not ready");
        sleep(Duration::from_millis(20)).await;
    }
}
