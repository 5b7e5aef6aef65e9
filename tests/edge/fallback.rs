//! A model's fallback chain while its hosts fail.

use std::time::Duration;

use fake_servers::Fault;
use serde_json::json;
use tokio::time::{Instant, sleep};

use crate::common::peers::*;
use crate::config_files::NODES;
use crate::fixture::*;

/// All hosts of the preferred model are down; the fallback's only host has just started.
#[tokio::test]
async fn starting_fallback_meets_the_deadline() {
    let fixture = fixture_with_starting_fallback().await;
    let requests = (0..40).map(|_| async {
        let start = Instant::now();
        let body = chat_body("marker", json!({"max_tokens": 5}));
        let got = fixture.chat("lakes/north/7b", body).await;
        (got, start.elapsed())
    });
    let all = futures_util::future::join_all(requests).await;
    let served = all.iter().filter(|(got, _)| got.head.status == 200).count();
    for (got, elapsed) in &all {
        assert!(*elapsed < Duration::from_millis(1700), "{elapsed:?}");
        assert!([200, 503, 502].contains(&got.head.status), "{got:?}");
        if got.head.status == 200 {
            assert_eq!(got.head.get("x-served-model"), Some("hint"));
        }
    }
    assert!(served >= 1, "the fallback serves what it can");
    // a host that warms up gets one request, then a part of what others get: far from all 40 at
    // once
    let at_starting_host = fixture
        .request_log
        .requests()
        .values()
        .flatten()
        .filter(|attempt| attempt.server == "cold")
        .count();
    assert!(
        at_starting_host <= 20,
        "{at_starting_host} attempts at a host that warms up"
    );
    fixture.assert_attempts_bounded();
}

async fn fixture_with_starting_fallback() -> EdgeFixture {
    let mut starting = server_options("cold", &["hint"]);
    starting.first_token_delay = Duration::from_millis(20);
    let servers = vec![
        server_options("m1", &["marker"]),
        server_options("m2", &["marker"]),
        starting,
    ];
    let fixture = EdgeFixture::start(servers, NODES).await;
    fixture.servers[0].set_fault(Fault::Down);
    fixture.servers[1].set_fault(Fault::Down);
    fixture.servers[2].start_cold(5, Duration::from_secs(10));
    // the endpoint list says that it has just started
    let now = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .unwrap()
        .as_millis();
    let hosts = format!(
        "name,address,up_since_ms\ns0,{},\ns1,{},\ns2,{},{now}\n",
        fixture.servers[0].address, fixture.servers[1].address, fixture.servers[2].address
    );
    std::fs::write(fixture.folder.path("hosts.csv"), hosts).unwrap();
    sleep(Duration::from_millis(1200)).await;
    fixture
}

/// The preferred model's attempts fail, and the client disconnects during the fallback's.
#[tokio::test]
async fn disconnect_cancels_the_fallback() {
    let servers = vec![
        server_options("m", &["marker"]),
        server_options("h", &["hint"]),
    ];
    let fixture = EdgeFixture::start(servers, NODES).await;
    fixture.servers[0].set_fault(Fault::InternalError);
    fixture.servers[1].set_fault(Fault::Hang);
    let mut client = Client::new(&fixture.router.batch).await;
    let body = chat_body("marker", json!({"max_tokens": 5}));
    client.send(&chat_request("lakes/north/7b", &body)).await;
    // one or two attempts fail at once, the next is at the fallback
    until("the fallback has it", || {
        fixture
            .request_log
            .requests()
            .values()
            .flatten()
            .any(|attempt| attempt.server == "h")
    })
    .await;
    drop(client);
    until("it is cancelled", || {
        fixture.request_log.running_attempts() == 0
    })
    .await;
    sleep(Duration::from_millis(100)).await;
    fixture.assert_attempts_bounded();
    let attempts = fixture.request_log.attempt_count();
    sleep(Duration::from_millis(500)).await;
    assert_eq!(
        fixture.request_log.attempt_count(),
        attempts,
        "nothing is sent for it any more"
    );
    assert_eq!(
        fixture.budget("lakes").await,
        BudgetUsage::settled(0),
        "an answer that nobody got costs nothing"
    );
}

/// Attempts count over the models of a chain, and one is left for the fallback.
#[tokio::test]
async fn fallback_keeps_an_attempt() {
    let servers = vec![
        server_options("m1", &["marker"]),
        server_options("m2", &["marker"]),
        server_options("h", &["hint"]),
    ];
    let fixture = EdgeFixture::start(servers, NODES).await;
    fixture.servers[0].set_fault(Fault::InternalError);
    fixture.servers[1].set_fault(Fault::InternalError);
    let mut served = 0;
    for k in 0..12 {
        if k == 8 {
            // frozen servers leave the fallback time too
            fixture.servers[0].set_fault(Fault::Hang);
            fixture.servers[1].set_fault(Fault::Hang);
        }
        let start = Instant::now();
        let body = chat_body("marker", json!({"max_tokens": 5}));
        let got = fixture.chat("lakes/north/7b", body).await;
        assert!(start.elapsed() < Duration::from_millis(1600));
        // after failures the decision module sheds a few requests by chance, at once
        match got.head.status {
            200 => served += 1,
            status => assert_eq!(
                (status, got.json()["error"]["code"].as_str()),
                (503, Some("overloaded"))
            ),
        }
        assert!(
            got.head
                .get("x-served-model")
                .is_none_or(|model| model == "hint"),
            "{got:?}"
        );
    }
    assert!(served >= 6, "{served} of 12");
    fixture.assert_attempts_bounded();
    // charged at the price of the model that ran
    assert_eq!(
        fixture.budget("lakes").await,
        BudgetUsage::settled(25 * served)
    );
}
