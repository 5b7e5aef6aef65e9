//! Attempts at model servers over loopback sockets, each with scripted peers: one test for each
//! failure met or guarded against.

#[path = "../common/mod.rs"]
mod common;

use std::sync::atomic::Ordering;
use std::time::Duration;

use common::peers::*;
use rstest::rstest;
use tokio::time::{Instant, sleep};

#[tokio::test]
async fn events_go_on_as_they_come_and_unchanged() {
    let server = peer(|_, _, _| {
        let (first, second) = (
            chunk(": note\n\ndata: {\"a\":  1}\n\n"),
            chunk("data: [DONE]\n\n"),
        );
        vec![
            Step::Write(STREAM.into()),
            Step::Write(first),
            Step::Gate,
            Step::Write(second),
            Step::Write(LAST.into()),
        ]
    })
    .await;
    let router = route(config(&[("s-a", &server.address, "SERVING")], None)).await;
    let mut client = Client::new(&router.platform).await;
    client
        .send(&request_of("9b1f03aa5c7e2d41", "hint", 1000, ""))
        .await;
    // the first event is here while the server still holds the second back
    while !String::from_utf8_lossy(client.buffer.bytes()).contains("{\"a\":  1}") {
        assert!(client.buffer.fill(&mut client.stream).await.unwrap() > 0);
    }
    server.gate.add_permits(1);
    let got = client.answer().await.unwrap();
    assert_eq!((got.head.status, got.whole), (200, true));
    assert_eq!(got.body, ": note\n\ndata: {\"a\":  1}\n\ndata: [DONE]\n\n");
    let (head, body) = server.seen.lock().unwrap()[0].clone();
    assert_eq!(
        (head.method.as_str(), head.target.as_str()),
        ("POST", "/v1/chat/completions?a=b")
    );
    assert_eq!(head.get("x-trace-id"), Some("9b1f03aa5c7e2d41"));
    assert!(head.get("x-expires-in-ms").unwrap().parse::<u64>().unwrap() <= 1000);
    assert!(body.ends_with(b"\"why?\"}]}"));
}

/// A class whose repeats model servers drop by their key: each attempt has to carry it as the
/// client sent it.
#[tokio::test]
async fn an_idempotency_key_goes_on_with_every_attempt() {
    let server = peer(|n, _, _| {
        if n == 0 {
            vec![Step::Close]
        } else {
            answer("second")
        }
    })
    .await;
    let router = route(config(&[("s-a", &server.address, "SERVING")], None)).await;
    let mut client = Client::new(&router.platform).await;
    let key = "04ab3c19f472a940c53cd8909ca19d07";
    let got = client
        .call(&request(
            "batch-mark",
            10_000,
            &format!("Idempotency-Key: {key}\r\n"),
        ))
        .await;
    assert_eq!((got.head.status, got.whole), (200, true));
    let seen = server.seen.lock().unwrap();
    let keys: Vec<_> = seen
        .iter()
        .map(|(head, _)| head.get("idempotency-key"))
        .collect();
    assert_eq!(keys, [Some(key); 2]);
}

/// The outcomes after which the module may try again; each send is an attempt that it ordered.
#[rstest]
#[case::error(plain("500 Oops", ""))]
#[case::full(plain("503 Full", "X-Never-Ran: 1\r\n"))]
#[case::reset(vec![Step::Close])]
#[case::no_event(vec![Step::Write(STREAM.into()), Step::Close])]
#[case::half_an_event(vec![Step::Write(STREAM.into()), Step::Write(chunk("data: {\"choi")), Step::Sleep(20), Step::Close])]
#[case::half_an_event_in_pieces(
    vec![Step::Write(STREAM.into()), Step::Write(chunk("da")), Step::Sleep(20), Step::Write(chunk("ta: {}\n")), Step::Close]
)]
#[case::a_comment(vec![Step::Write(STREAM.into()), Step::Write(chunk(": note\n\n")), Step::Sleep(20), Step::Close])]
#[tokio::test]
async fn a_failed_attempt_is_tried_again_and_never_twice_at_once(#[case] failure: Vec<Step>) {
    let server = peer(move |n, _, _| {
        if n == 0 {
            failure.clone()
        } else {
            answer("second")
        }
    })
    .await;
    let router = route(config(&[("s-a", &server.address, "SERVING")], None)).await;
    let got = ask(&router.platform, "batch-mark", 10_000).await;
    assert_eq!((got.head.status, got.whole), (200, true));
    assert!(got.body.contains("second"));
    assert_eq!(
        (server.requests(), server.most_out.load(Ordering::SeqCst)),
        (2, 1)
    );
}

#[tokio::test]
async fn a_server_that_keeps_failing_gets_three_attempts_and_the_client_one_answer() {
    let server = peer(|_, _, _| plain("500 Oops", "")).await;
    let router = route(config(&[("s-a", &server.address, "SERVING")], None)).await;
    let mut client = Client::new(&router.platform).await;
    let got = client.call(&request("batch-mark", 10_000, "")).await;
    assert_eq!(got.head.status, 503);
    assert!(
        (1..=3).contains(&server.requests()),
        "{}",
        server.requests()
    );
    // exactly one answer: the connection is good for the next request
    assert!(client.buffer.is_empty());
    assert_eq!(
        client
            .call(b"GET /_health HTTP/1.1\r\n\r\n")
            .await
            .head
            .status,
        200
    );
}

/// The server's connection goes after the last event and ahead of the last chunk: no event is
/// missing.
#[tokio::test]
async fn a_stream_that_breaks_after_its_last_event_is_whole() {
    let all = format!(
        "{STREAM}{}{}",
        chunk(&event("all")),
        chunk("data: [DONE]\n\n: Endpoint")
    );
    let server =
        peer(move |_, _, _| vec![Step::Write(all.clone()), Step::Sleep(20), Step::Close]).await;
    let router = route(config(&[("s-a", &server.address, "SERVING")], None)).await;
    let mut client = Client::new(&router.platform).await;
    for requests in 1..=2 {
        let got = client.call(&request("hint", 1000, "")).await;
        assert_eq!((got.head.status, got.whole), (200, true));
        assert!(got.body.contains("all") && got.body.contains("[DONE]"));
        assert_eq!(server.requests(), requests);
    }
}

#[tokio::test]
async fn a_stream_that_breaks_ends_without_the_last_chunk() {
    let broken = format!("{STREAM}{}", chunk(&event("half")));
    let server =
        peer(move |_, _, _| vec![Step::Write(broken.clone()), Step::Sleep(20), Step::Close]).await;
    let router = route(config(&[("s-a", &server.address, "SERVING")], None)).await;
    let got = ask(&router.platform, "hint", 1000).await;
    assert_eq!(
        (got.head.status, got.whole, got.body),
        (200, false, event("half"))
    );
    // what has begun belongs to the client: it is not sent again
    sleep(Duration::from_millis(50)).await;
    assert_eq!(server.requests(), 1);
}

#[rstest]
#[case::waiting(vec![Step::Hang])]
#[case::streaming(vec![Step::Write(format!("{STREAM}{}", chunk(&event("a")))), Step::Hang])]
#[tokio::test]
async fn a_client_that_goes_takes_its_attempt_along(#[case] script: Vec<Step>) {
    let server = peer(move |_, _, _| script.clone()).await;
    let router = route(config(&[("s-a", &server.address, "SERVING")], None)).await;
    let mut client = Client::new(&router.platform).await;
    client.send(&request("batch-mark", 10_000, "")).await;
    until("the request is there", || server.requests() == 1).await;
    sleep(Duration::from_millis(30)).await;
    drop(client);
    until("the attempt is called off", || {
        server.dropped.load(Ordering::SeqCst) == 1
    })
    .await;
}

#[tokio::test]
async fn a_silent_server_costs_the_client_no_more_than_its_patience() {
    let server = peer(|_, _, _| vec![Step::Hang]).await;
    let router = route(config(&[("s-a", &server.address, "SERVING")], None)).await;
    let start = Instant::now();
    let got = ask(&router.platform, "hint", 300).await;
    assert_eq!(got.head.status, 503);
    assert!(
        start.elapsed() < Duration::from_millis(300),
        "{:?}",
        start.elapsed()
    );
}

#[tokio::test]
async fn a_connection_that_the_server_closed_is_not_used_again() {
    let server = peer(|_, _, _| [answer("x"), vec![Step::Close]].concat()).await;
    let router = route(config(&[("s-a", &server.address, "SERVING")], None)).await;
    let mut client = Client::new(&router.platform).await;
    for n in 1..=3 {
        assert_eq!(
            client.call(&request("hint", 1000, "")).await.head.status,
            200
        );
        sleep(Duration::from_millis(20)).await;
        assert_eq!(
            (server.requests(), server.connections.load(Ordering::SeqCst)),
            (n, n)
        );
    }
}

#[tokio::test]
async fn a_connection_whose_answer_was_whole_is_used_again() {
    let server = peer(|_, _, _| answer("x")).await;
    let router = route(config(&[("s-a", &server.address, "SERVING")], None)).await;
    for _ in 0..3 {
        assert_eq!(ask(&router.platform, "hint", 1000).await.head.status, 200);
        sleep(Duration::from_millis(80)).await;
    }
    assert_eq!(
        (server.requests(), server.connections.load(Ordering::SeqCst)),
        (3, 1)
    );
}

/// What a server sends in place of a stream's opening: nothing of it is passed on, and the RPC goes
/// on elsewhere.
#[rstest]
#[case::noise("\u{1}\u{2}noise\r\n\r\n".into())]
#[case::endless_head(format!("HTTP/1.1 200 OK\r\n{}", "X-More: and more\r\n".repeat(50)))]
#[case::endless_interim("HTTP/1.1 102 Processing\r\n\r\n".repeat(100))]
#[case::no_framing("HTTP/1.1 200 OK\r\n\r\nnoise".into())]
#[case::no_size(format!("{STREAM}zz\r\nnoise\r\n"))]
#[case::too_small(format!("{STREAM}3\r\nnoise\r\n"))]
#[case::too_large(format!("{STREAM}7f\r\nnoise\r\n"))]
#[case::huge(format!("{STREAM}c0000000\r\n{}", "noise".repeat(1000)))]
#[tokio::test]
async fn a_spoilt_opening_is_a_failed_attempt(#[case] spoilt: String) {
    let server = peer(move |n, _, _| {
        if n == 0 {
            vec![Step::Write(spoilt.clone()), Step::Hang]
        } else {
            answer("second")
        }
    })
    .await;
    let router = route(config(&[("s-a", &server.address, "SERVING")], None)).await;
    let got = ask(&router.platform, "batch-mark", 10_000).await;
    assert_eq!((got.head.status, got.whole), (200, true));
    assert!(got.body.starts_with(&event("second")), "{}", got.body);
    // the spoilt connection was given up, not used again
    assert_eq!(
        (server.requests(), server.connections.load(Ordering::SeqCst)),
        (2, 2)
    );
}

/// The same later: the client's connection ends soon, without the last chunk and without the noise.
#[rstest]
#[case::no_size("zz\r\nnoise\r\n")]
#[case::too_large("7f\r\nnoise\r\n")]
#[case::huge("c0000000\r\nnoise")]
#[tokio::test]
async fn a_chunk_spoilt_later_ends_the_stream(#[case] spoilt: &str) {
    let text = format!("{STREAM}{}{spoilt}", chunk(&event("half")));
    let server = peer(move |_, _, _| vec![Step::Write(text.clone()), Step::Hang]).await;
    let router = route(config(&[("s-a", &server.address, "SERVING")], None)).await;
    let start = Instant::now();
    let got = ask(&router.platform, "hint", 1000).await;
    assert_eq!((got.whole, got.body), (false, event("half")));
    assert!(
        start.elapsed() < Duration::from_secs(4),
        "{:?}",
        start.elapsed()
    );
}

/// A good stream that brings more than belongs to it is served, and its connection not used again.
#[rstest]
#[case::interim(
    "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nX-A: b\r\n\r\n",
    "",
    1
)]
#[case::second_answer("", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno", 2)]
#[tokio::test]
async fn a_good_stream_with_more_than_belongs_to_it_is_served(
    #[case] before: &'static str,
    #[case] behind: &'static str,
    #[case] connections: usize,
) {
    let server = peer(move |_, _, _| {
        vec![Step::Write(format!(
            "{before}{STREAM}{}{LAST}{behind}",
            chunk(&event("x"))
        ))]
    })
    .await;
    let router = route(config(&[("s-a", &server.address, "SERVING")], None)).await;
    for _ in 0..2 {
        let got = ask(&router.platform, "hint", 1000).await;
        assert_eq!(
            (got.head.status, got.whole, got.body),
            (200, true, event("x"))
        );
        sleep(Duration::from_millis(80)).await;
    }
    assert_eq!(server.connections.load(Ordering::SeqCst), connections);
}
