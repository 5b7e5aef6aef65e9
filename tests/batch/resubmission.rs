//! Resubmission of lines whose attempts failed.

use std::time::Duration;

use serde_json::json;
use tokio::net::TcpSocket;
use tokio::time::sleep;

use crate::common::folder::Folder;
use crate::common::peers::{Client, peer, plain};
use crate::service::{get, lines, outcomes, start_batch, start_on_inventory, wait_for_end};

/// Guards against lines that run twice or fail early. A line whose attempts reached no server is
/// submitted again later; a line that a server may have run is not.
#[tokio::test]
async fn only_unsent_lines_are_resubmitted() {
    let folder = Folder::new();
    // bound and never listening: connections are refused, and nothing else gets the port
    let unused = TcpSocket::new_v4().unwrap();
    unused.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let address = unused.local_addr().unwrap().to_string();
    let failing = peer(|_, _, _| plain("500 Oops", "")).await;
    let inventory = folder.path("hosts.csv");
    std::fs::write(&inventory, format!("name,address\ns-a,{address}\n")).unwrap();
    let router = start_on_inventory(&folder, &inventory).await;
    let mut client = Client::new(&router.batch).await;
    let id = start_batch(&mut client, &lines(3), "1h").await;
    sleep(Duration::from_millis(700)).await;
    let path = format!("/v1/batches/{id}");
    let counts = get(&mut client, &path).await.json()["request_counts"].clone();
    assert_eq!(
        counts,
        json!({"total": 3, "completed": 0, "failed": 0}),
        "a line ended while no server was up"
    );
    let hosts = format!("name,address\ns-b,{}\n", failing.address);
    std::fs::write(&inventory, hosts).unwrap();
    let batch = wait_for_end(&mut client, &id).await;
    let all = outcomes(&mut client, &batch).await;
    assert!(
        all.iter().all(|o| o["error"]["code"] == "attempts_failed"),
        "{all:?}"
    );
    assert!(
        failing.requests() <= 9,
        "more than three attempts per line: {}",
        failing.requests()
    );
}
