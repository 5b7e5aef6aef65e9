//! Thousands of requests with invalid keys beside live traffic.

use std::time::Duration;

use fake_servers::{ModelServer, RequestLog, ServerOptions};
use tokio::time::sleep;

use crate::common::folder::Folder;
use crate::common::peers::*;
use crate::config_files::write_files;
use crate::load_client::LoadClient;
use crate::program::Program;

/// How far resident memory may grow under the flood, in KiB.
const MAX_GROWTH: usize = 4_096;

/// Invalid keys cost neither an attempt nor memory, delay no answer and are not logged.
#[tokio::test]
async fn invalid_keys_leave_nothing_behind() {
    let (folder, request_log) = (Folder::new(), RequestLog::default());
    let options = ServerOptions {
        models: vec!["marker".into(), "hint".into(), "tiny".into()],
        ..ServerOptions::default()
    };
    let servers = [ModelServer::start(options, request_log.clone())
        .await
        .unwrap()];
    write_files(&folder, &servers);
    let program = Program::start(&folder);
    sleep(Duration::from_millis(500)).await;
    let address = program.address.as_str();
    let warm_up = (0..8).map(|k| send_invalid_keys(address, k * 250, 250));
    futures_util::future::join_all(warm_up).await;
    let before = program.resident_memory();
    let flood = (0..8).map(|k| send_invalid_keys(address, 10_000 + k * 2_500, 2_500));
    let live = async {
        let mut client = LoadClient::new(address);
        for k in 0..60 {
            // of a tenant with an ample budget
            let record = client.send(4 * k).await;
            assert_eq!(record.status, 200, "{}", record.trace);
        }
    };
    tokio::join!(futures_util::future::join_all(flood), live);
    let growth = program.resident_memory().saturating_sub(before);
    assert!(
        growth < MAX_GROWTH,
        "{growth} KiB more after 20,000 invalid keys"
    );
    assert_eq!(request_log.attempt_count(), 60);
    let log = program.kill();
    assert!(!log.contains("sk-") && !log.contains("valid\""), "{log}");
}

/// Sends requests with so many different invalid keys, numbered from `first`.
async fn send_invalid_keys(address: &str, first: usize, count: usize) {
    let mut client = Client::new(address).await;
    for k in first..first + count {
        let request = format!(
            "GET /v1/models HTTP/1.1\r\nAuthorization: Bearer sk-key{k}-not{k}valid\r\n\r\n"
        );
        assert_eq!(client.call(request.as_bytes()).await.head.status, 401);
    }
}
