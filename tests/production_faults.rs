//! Faults of production that the bench seldom has: requests with hardly any time left, clients that
//! stop within a later request, servers that hang through a complete shutdown, rapid reloads of the
//! configuration.

mod common;

use std::fs;
use std::sync::atomic::Ordering;
use std::time::Duration;

use common::peers::*;
use common::process::*;
use rstest::rstest;
use tokio::time::{Instant, sleep, timeout};

/// A final answer may arrive so long after its client's deadline.
const ANSWER_TOLERANCE: Duration = Duration::from_millis(500);
/// A client that stops within a request gets an answer or a close within this.
const INCOMPLETE_REQUEST_TIMEOUT: Duration = Duration::from_secs(3);
/// Time until a client observes what the router did, on a busy machine.
const SLACK: Duration = Duration::from_millis(400);

/// A client stops in the middle of its second request and stays: it gets its error, and the close.
#[rstest]
#[case::in_its_head("POST /v1/chat/completions HTTP/1.1\r\nX-Qos: hi")]
#[case::in_its_body(
    "POST /v1/chat/completions HTTP/1.1\r\nX-Trace-Id: 7\r\nX-Qos: hint\r\nContent-Length: 90\r\n\r\n{"
)]
#[case::in_a_chunk(
    "POST /v1/chat/completions HTTP/1.1\r\nX-Trace-Id: 7\r\nX-Qos: hint\r\nTransfer-Encoding: chunked\r\n\r\n9\r\n{"
)]
#[tokio::test]
async fn incomplete_second_request_is_closed(#[case] part: &str) {
    let server = peer(|_, _, _| answer("x")).await;
    let router = route(config(&[("s-a", &server.address, "SERVING")], None)).await;
    let mut client = Client::new(&router.platform).await;
    assert!(client.call(&request("hint", 1000, "")).await.whole);
    let start = Instant::now();
    client.send(part.as_bytes()).await;
    let got = timeout(Duration::from_secs(8), client.answer())
        .await
        .unwrap()
        .expect("an answer");
    assert_eq!(
        (got.head.status, got.head.get("connection")),
        (408, Some("close"))
    );
    assert!(client.answer().await.is_none());
    assert!(
        start.elapsed() < INCOMPLETE_REQUEST_TIMEOUT + SLACK,
        "{:?}",
        start.elapsed()
    );
    assert_eq!(server.requests(), 1);
}

/// A server drops requests with very little time left and says nothing: each has its one answer in
/// time, no attempt is given more time than its client has, and the server is used again.
#[tokio::test]
async fn short_deadlines_affect_nobody_else() {
    let server = peer(|_, head, _| {
        let left: u64 = head.get("x-expires-in-ms").unwrap().parse().unwrap();
        if left < 100 {
            vec![Step::Hang]
        } else {
            answer("x")
        }
    })
    .await;
    let router = route(config(&[("s-a", &server.address, "SERVING")], None)).await;
    for left in [0, 1, 2, 5, 10, 20, 40, 80] {
        let start = Instant::now();
        let before = server.requests();
        let got = ask(&router.platform, "hint", left).await;
        assert!(got.whole && matches!(got.head.status, 502 | 503), "{got:?}");
        assert!(
            start.elapsed() < Duration::from_millis(left) + ANSWER_TOLERANCE,
            "{left} ms: {:?}",
            start.elapsed()
        );
        let seen = server.seen.lock().unwrap();
        let forwarded_ms = |seen: &Seen| {
            seen.0
                .get("x-expires-in-ms")
                .unwrap()
                .parse::<u64>()
                .unwrap()
        };
        assert!(
            seen[before..]
                .iter()
                .all(|seen| forwarded_ms(seen) <= left.max(1))
        );
    }
    let start = Instant::now();
    while ask(&router.platform, "batch-mark", 5000).await.head.status != 200 {
        assert!(
            start.elapsed() < Duration::from_secs(5),
            "the server is not used again"
        );
    }
}

/// All servers hang from before the signal to the end: every request that was accepted, before and
/// after it, is answered by its deadline, and the program ends with the last of them.
#[tokio::test]
async fn shutdown_answers_despite_hanging_servers() {
    let (a, b) = (
        peer(|_, _, _| vec![Step::Hang]).await,
        peer(|_, _, _| vec![Step::Hang]).await,
    );
    let router = route(config(
        &[
            ("s-a", &a.address, "SERVING"),
            ("s-b", &b.address, "SERVING"),
        ],
        None,
    ))
    .await;
    let send_one = |address: String, class: &'static str, left: u64| async move {
        let start = Instant::now();
        let got = ask(&address, class, left).await;
        assert!(got.whole && matches!(got.head.status, 502 | 503), "{got:?}");
        assert!(
            start.elapsed() < Duration::from_millis(left) + ANSWER_TOLERANCE,
            "{:?}",
            start.elapsed()
        );
    };
    let mut sent = tokio::task::JoinSet::new();
    for n in 0..12 {
        let class = ["hint", "batch-mark"][n % 2];
        sent.spawn(send_one(
            router.platform.clone(),
            class,
            1000 + 100 * n as u64,
        ));
    }
    until("some are at the servers", || {
        a.requests() + b.requests() > 1
    })
    .await;
    router.end.send(true).unwrap();
    for n in 0..6 {
        sent.spawn(send_one(router.platform.clone(), "hint", 300 + 100 * n));
        sleep(Duration::from_millis(30)).await;
    }
    sent.join_all().await;
    router.wait_until_stopped(Duration::from_secs(5)).await;
}

/// Twenty configurations in rapid succession, of which every second names another discovery: the
/// last one is in force, with a single watch, and requests in flight go on.
#[tokio::test]
async fn last_of_rapid_reloads_wins() {
    let slow = [vec![Step::Gate, Step::Release], answer("a")].concat();
    let (a, b) = (
        peer(move |_, _, _| slow.clone()).await,
        peer(|_, _, _| answer("b")).await,
    );
    let other = peer(|_, _, _| vec![Step::Hang]).await;
    let known = list(1, true, &[("s-b", &b.address, "SERVING")]).to_string();
    let last = peer(move |_, head, _| {
        let whole = !head.target.contains("after=");
        if whole {
            vec![success(&known)]
        } else {
            vec![Step::Hang]
        }
    })
    .await;
    let hosts = [("s-a", a.address.as_str(), "SERVING")];
    let file = Scratch::new("succession", &config_text(&hosts, Some(&other.address)));
    let (child, address, _log) = serve(&file).await;
    let mut busy = Client::new(&address).await;
    busy.send(&request("batch-mark", 10_000, "")).await;
    until("the request is there", || a.requests() == 1).await;
    for n in 0..20 {
        let at = if n % 2 == 0 {
            &other.address
        } else {
            &last.address
        };
        fs::write(&file.0, config_text(&hosts, Some(at))).unwrap();
        signal("HUP", &child);
    }
    let in_flight = |discovery: &Peer| discovery.in_flight.load(Ordering::SeqCst);
    until("the last watch alone", || {
        last.requests() > 1 && (in_flight(&last), in_flight(&other)) == (1, 0)
    })
    .await;
    assert!(ask(&address, "hint", 1000).await.body.contains("\"b\""));
    a.gate.add_permits(1);
    assert!(busy.answer().await.unwrap().body.contains("\"a\""));
}
