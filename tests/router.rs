//! Stories of the platform's front over loopback sockets, each with scripted peers: one for each failure met
//! or guarded against.

mod common;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use common::peers::*;
use rstest::rstest;
use tokio::io::AsyncWriteExt;
use tokio::time::{Instant, sleep, timeout};

#[tokio::test]
async fn events_go_on_as_they_come_and_unchanged() {
    let server = peer(|_, _, _| {
        let (first, second) = (chunk(": note\n\ndata: {\"a\":  1}\n\n"), chunk("data: [DONE]\n\n"));
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
    client.send(&request_of("9b1f03aa5c7e2d41", "hint", 1000, "")).await;
    // the first event is here while the server still holds the second back
    while !String::from_utf8_lossy(client.buffer.bytes()).contains("{\"a\":  1}") {
        assert!(client.buffer.fill(&mut client.stream).await.unwrap() > 0);
    }
    server.gate.add_permits(1);
    let got = client.answer().await.unwrap();
    assert_eq!((got.head.status, got.whole), (200, true));
    assert_eq!(got.body, ": note\n\ndata: {\"a\":  1}\n\ndata: [DONE]\n\n");
    let (head, body) = server.seen.lock().unwrap()[0].clone();
    assert_eq!((head.method.as_str(), head.target.as_str()), ("POST", "/v1/chat/completions?a=b"));
    assert_eq!(head.get("x-trace-id"), Some("9b1f03aa5c7e2d41"));
    assert!(head.get("x-expires-in-ms").unwrap().parse::<u64>().unwrap() <= 1000);
    assert!(body.ends_with(b"\"why?\"}]}"));
}

/// A class whose repeats model servers drop by their key: each attempt has to carry it as the client sent it.
#[tokio::test]
async fn an_idempotency_key_goes_on_with_every_attempt() {
    let server = peer(|n, _, _| if n == 0 { vec![Step::Close] } else { answer("second") }).await;
    let router = route(config(&[("s-a", &server.address, "SERVING")], None)).await;
    let mut client = Client::new(&router.platform).await;
    let key = "04ab3c19f472a940c53cd8909ca19d07";
    let got = client.call(&request("batch-mark", 10_000, &format!("Idempotency-Key: {key}\r\n"))).await;
    assert_eq!((got.head.status, got.whole), (200, true));
    let seen = server.seen.lock().unwrap();
    let keys: Vec<_> = seen.iter().map(|(head, _)| head.get("idempotency-key")).collect();
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
    let server = peer(move |n, _, _| if n == 0 { failure.clone() } else { answer("second") }).await;
    let router = route(config(&[("s-a", &server.address, "SERVING")], None)).await;
    let got = ask(&router.platform, "batch-mark", 10_000).await;
    assert_eq!((got.head.status, got.whole), (200, true));
    assert!(got.body.contains("second"));
    assert_eq!((server.requests(), server.most_out.load(Ordering::SeqCst)), (2, 1));
}

#[tokio::test]
async fn a_server_that_keeps_failing_gets_three_attempts_and_the_client_one_answer() {
    let server = peer(|_, _, _| plain("500 Oops", "")).await;
    let router = route(config(&[("s-a", &server.address, "SERVING")], None)).await;
    let mut client = Client::new(&router.platform).await;
    let got = client.call(&request("batch-mark", 10_000, "")).await;
    assert_eq!(got.head.status, 503);
    assert!((1..=3).contains(&server.requests()), "{}", server.requests());
    // exactly one answer: the connection is good for the next request
    assert!(client.buffer.is_empty());
    assert_eq!(client.call(b"GET /_health HTTP/1.1\r\n\r\n").await.head.status, 200);
}

/// The server's connection goes after the last event and ahead of the last chunk: no event is missing.
#[tokio::test]
async fn a_stream_that_breaks_after_its_last_event_is_whole() {
    let all = format!("{STREAM}{}{}", chunk(&event("all")), chunk("data: [DONE]\n\n: Endpoint"));
    let server = peer(move |_, _, _| vec![Step::Write(all.clone()), Step::Sleep(20), Step::Close]).await;
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
    let server = peer(move |_, _, _| vec![Step::Write(broken.clone()), Step::Sleep(20), Step::Close]).await;
    let router = route(config(&[("s-a", &server.address, "SERVING")], None)).await;
    let got = ask(&router.platform, "hint", 1000).await;
    assert_eq!((got.head.status, got.whole, got.body), (200, false, event("half")));
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
    until("the attempt is called off", || server.dropped.load(Ordering::SeqCst) == 1).await;
}

#[tokio::test]
async fn a_silent_server_costs_the_client_no_more_than_its_patience() {
    let server = peer(|_, _, _| vec![Step::Hang]).await;
    let router = route(config(&[("s-a", &server.address, "SERVING")], None)).await;
    let start = Instant::now();
    let got = ask(&router.platform, "hint", 300).await;
    assert_eq!(got.head.status, 503);
    assert!(start.elapsed() < Duration::from_millis(300), "{:?}", start.elapsed());
}

#[tokio::test]
async fn a_connection_that_the_server_closed_is_not_used_again() {
    let server = peer(|_, _, _| [answer("x"), vec![Step::Close]].concat()).await;
    let router = route(config(&[("s-a", &server.address, "SERVING")], None)).await;
    let mut client = Client::new(&router.platform).await;
    for n in 1..=3 {
        assert_eq!(client.call(&request("hint", 1000, "")).await.head.status, 200);
        sleep(Duration::from_millis(20)).await;
        assert_eq!((server.requests(), server.connections.load(Ordering::SeqCst)), (n, n));
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
    assert_eq!((server.requests(), server.connections.load(Ordering::SeqCst)), (3, 1));
}

const POST: &str = "POST /v1/chat/completions HTTP/1.1\r\nX-Trace-Id: 7\r\nX-Qos: hint\r\n";

#[rstest]
#[case::no_http("\u{1}\u{2}garbage\r\n\r\n".into(), 400)]
#[case::no_id(format!("{}Content-Length: 0\r\n\r\n", POST.replace("X-Trace-Id: 7\r\n", "")), 400)]
#[case::deadline(String::from_utf8(request("hint", 100, "")).unwrap().replace("Ms: 100", "Ms: soon"), 400)]
#[case::cut_short(String::from_utf8(request("hint", 1000, "")).unwrap().replace("Length: 9", "Length: 4"), 400)]
#[case::class(String::from_utf8(request("nobody", 100, "")).unwrap(), 400)]
#[case::props(format!("{POST}X-Props: prompt_len=many\r\nContent-Length: 0\r\n\r\n"), 400)]
#[case::negative(format!("{POST}Content-Length: -1\r\n\r\n"), 400)]
#[case::two_lengths(format!("{POST}Content-Length: 2\r\nContent-Length: 3\r\n\r\nab"), 400)]
#[case::both(format!("{POST}Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"), 400)]
#[case::chunk(format!("{POST}Transfer-Encoding: chunked\r\n\r\nzz\r\n"), 400)]
#[case::body(format!("{POST}Content-Length: 262145\r\n\r\n"), 413)]
#[case::chunked_body(format!("{POST}Transfer-Encoding: chunked\r\n\r\n50000\r\n{}", "a".repeat(0x50000)), 413)]
#[case::head(format!("{POST}X-Long: {}\r\n", "a".repeat(40 << 10)), 431)]
#[tokio::test]
async fn what_is_no_request_gets_a_4xx_and_the_connection_ends(#[case] text: String, #[case] status: u16) {
    let server = peer(|_, _, _| answer("x")).await;
    let router = route(config(&[("s-a", &server.address, "SERVING")], None)).await;
    let mut client = Client::new(&router.platform).await;
    let got = client.call(text.as_bytes()).await;
    assert_eq!((got.head.status, got.head.get("connection")), (status, Some("close")));
    assert!(client.answer().await.is_none());
    assert_eq!(ask(&router.platform, "hint", 1000).await.head.status, 200);
}

/// What the module has given up on is answered at once, with its word on when to come back.
#[tokio::test]
async fn a_refusal_comes_at_once_and_says_when_to_come_back() {
    let server = peer(|_, _, _| plain("500 Oops", "")).await;
    let mut config = config(&[("s-a", &server.address, "SERVING")], None);
    (config.settings.retry_after, config.settings.max_retry_after) =
        (true, stilespan::interface::Dur(2_000_000));
    let router = route(config).await;
    let mut last = None;
    for _ in 0..6 {
        last = Some(ask(&router.platform, "hint", 1500).await);
    }
    let start = Instant::now();
    let got = last.unwrap();
    assert_eq!(got.head.status, 503);
    let wait: f64 = got.head.get("retry-after").expect("Retry-After").parse().unwrap();
    assert!(wait > 0.0 && wait <= 2.0, "{wait}");
    assert_eq!(ask(&router.platform, "hint", 1500).await.head.status, 503);
    assert!(start.elapsed() < Duration::from_secs(1), "held back for {:?}", start.elapsed());
}

/// Where sockets run out, idle channels make room; one with something unanswered on it never does.
#[tokio::test]
async fn idle_channels_make_room_and_busy_ones_stay() {
    let server = peer(|_, _, _| [vec![Step::Gate], answer("x")].concat()).await;
    let mut config = config(&[("s-a", &server.address, "SERVING")], None);
    config.sockets = 48; // four for clients, four for servers
    let router = route(config).await;
    let mut busy = Client::new(&router.platform).await;
    busy.send(&request("batch-mark", 10_000, "")).await;
    until("the request is there", || server.requests() == 1).await;
    let mut idle = Vec::new();
    for _ in 0..20 {
        let mut client = Client::new(&router.platform).await;
        assert_eq!(client.call(b"GET /_health HTTP/1.1\r\n\r\n").await.head.status, 200);
        idle.push(client);
    }
    server.gate.add_permits(1);
    assert_eq!(busy.answer().await.unwrap().head.status, 200);
}

/// A client that reads nothing holds up its own stream, and no other's.
#[tokio::test]
async fn a_slow_client_stalls_no_other() {
    let endless = Arc::new(AtomicBool::new(true));
    let flag = endless.clone();
    let server = peer(move |_, _, _| {
        if flag.swap(false, Ordering::SeqCst) {
            let big = chunk(&event(&"x".repeat(60_000)));
            let mut steps = vec![Step::Write(STREAM.into())];
            steps.extend((0..400).map(|_| Step::Write(big.clone())));
            steps.push(Step::Write(LAST.into()));
            steps
        } else {
            answer("quick")
        }
    })
    .await;
    let router = route(config(&[("s-a", &server.address, "SERVING")], None)).await;
    let mut slow = Client::new(&router.platform).await;
    slow.send(&request("batch-mark", 10_000, "")).await;
    until("the long answer has begun", || server.requests() == 1).await;
    for _ in 0..5 {
        assert_eq!(ask(&router.platform, "batch-mark", 5000).await.head.status, 200);
    }
    // and when it reads at last it has everything
    let got = slow.answer().await.unwrap();
    assert_eq!((got.whole, got.body.len()), (true, 400 * event(&"x".repeat(60_000)).len()));
}

/// Clients that say nothing, or never finish, in numbers: each is answered or closed in time, and none of them
/// keeps a request out.
#[rstest]
#[case::silent("")]
#[case::half("POST /v1/chat/completions HTTP/1.1\r\nX-Qos: hint\r\n")]
#[case::half_a_body(
    "POST /v1/chat/completions HTTP/1.1\r\nX-Qos: hint\r\nX-Trace-Id: ID\r\nContent-Length: 99\r\n\r\n{"
)]
#[tokio::test]
async fn clients_that_never_finish_are_closed_in_time_and_keep_nobody_out(#[case] text: &str) {
    let server = peer(|_, _, _| answer("x")).await;
    let mut config = config(&[("s-a", &server.address, "SERVING")], None);
    config.sockets = 72; // sixteen for clients
    let router = route(config).await;
    let mut bad = Vec::new();
    for _ in 0..60 {
        let mut client = Client::new(&router.platform).await;
        // one that has been closed by now can't be written to
        let _ = client.stream.write_all(text.replace("ID", &fresh_id()).as_bytes()).await;
        bad.push(client);
    }
    assert_eq!(ask(&router.platform, "hint", 1000).await.head.status, 200);
    let all = async {
        for client in &mut bad {
            assert!(client.answer().await.is_none_or(|got| got.head.status == 408));
        }
    };
    timeout(Duration::from_secs(8), all).await.expect("all closed");
}

/// The servers' share of sockets is not the clients' to take, and idle ones make room one by one.
#[tokio::test]
async fn busy_clients_leave_sockets_for_the_servers() {
    let server = peer(|_, _, _| {
        let begun = Step::Write(format!("{STREAM}{}", chunk(&event("x"))));
        vec![begun, Step::Gate, Step::Free, Step::Write(LAST.into())]
    })
    .await;
    let mut config = config(&[("s-a", &server.address, "SERVING")], None);
    config.sockets = 48; // four for clients, four for servers
    let router = route(config).await;
    let mut busy = Vec::new();
    for n in 1..=4 {
        let mut client = Client::new(&router.platform).await;
        client.send(&request("batch-mark", 10_000, "")).await;
        until("the request is there", || server.requests() == n).await;
        busy.push(client);
    }
    server.gate.add_permits(1);
    for client in &mut busy {
        assert_eq!(client.answer().await.unwrap().head.status, 200);
    }
}

#[tokio::test]
async fn the_id_of_an_open_request_is_not_sent_twice() {
    let server = peer(|_, _, _| [vec![Step::Gate], answer("x")].concat()).await;
    let router = route(config(&[("s-a", &server.address, "SERVING")], None)).await;
    let mut first = Client::new(&router.platform).await;
    first.send(&request_of("7f", "batch-mark", 10_000, "")).await;
    until("the request is there", || server.requests() == 1).await;
    let twice = request_of("7f", "hint", 1000, "");
    assert_eq!(Client::new(&router.platform).await.call(&twice).await.head.status, 409);
    server.gate.add_permits(1);
    assert_eq!(first.answer().await.unwrap().head.status, 200);
    assert_eq!(server.requests(), 1);
}

/// A sender of far more than is taken gets to read why, however long it goes on.
#[tokio::test]
async fn a_client_that_sends_on_after_its_answer_can_read_it() {
    let router = route(config(&[], None)).await;
    let client = Client::new(&router.platform).await;
    let (mut read, mut write) = client.stream.into_split();
    let sender = tokio::spawn(async move {
        let head = "POST /v1/chat/completions HTTP/1.1\r\nX-Qos: hint\r\nContent-Length: 16000000\r\n\r\n";
        let _ = write.write_all(head.as_bytes()).await;
        let part = vec![b'a'; 100_000];
        for _ in 0..160 {
            if write.write_all(&part).await.is_err() {
                return false;
            }
            sleep(Duration::from_millis(2)).await;
        }
        true
    });
    assert!(sender.await.unwrap(), "the connection broke under the sender");
    let mut text = String::new();
    tokio::io::AsyncReadExt::read_to_string(&mut read, &mut text).await.unwrap();
    assert!(text.starts_with("HTTP/1.1 413 "), "{text}");
}

/// A client that writes ahead more than is read, and goes, takes its attempt along all the same.
#[tokio::test]
async fn a_client_that_wrote_far_ahead_is_seen_to_go() {
    let server = peer(|_, _, _| vec![Step::Hang]).await;
    let router = route(config(&[("s-a", &server.address, "SERVING")], None)).await;
    let mut client = Client::new(&router.platform).await;
    client.send(&request("batch-mark", 10_000, "")).await;
    until("the request is there", || server.requests() == 1).await;
    client.send(&vec![b'a'; 100_000]).await;
    sleep(Duration::from_millis(50)).await;
    drop(client);
    until("the attempt is called off", || server.dropped.load(Ordering::SeqCst) == 1).await;
}

/// What a server sends in place of a stream's opening: nothing of it is passed on, and the RPC goes on elsewhere.
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
    let server = peer(
        move |n, _, _| {
            if n == 0 { vec![Step::Write(spoilt.clone()), Step::Hang] } else { answer("second") }
        },
    )
    .await;
    let router = route(config(&[("s-a", &server.address, "SERVING")], None)).await;
    let got = ask(&router.platform, "batch-mark", 10_000).await;
    assert_eq!((got.head.status, got.whole), (200, true));
    assert!(got.body.starts_with(&event("second")), "{}", got.body);
    // the spoilt connection was given up, not used again
    assert_eq!((server.requests(), server.connections.load(Ordering::SeqCst)), (2, 2));
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
    assert!(start.elapsed() < Duration::from_secs(4), "{:?}", start.elapsed());
}

/// A good stream that brings more than belongs to it is served, and its connection not used again.
#[rstest]
#[case::interim("HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nX-A: b\r\n\r\n", "", 1)]
#[case::second_answer("", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno", 2)]
#[tokio::test]
async fn a_good_stream_with_more_than_belongs_to_it_is_served(
    #[case] before: &'static str,
    #[case] behind: &'static str,
    #[case] connections: usize,
) {
    let server = peer(move |_, _, _| {
        vec![Step::Write(format!("{before}{STREAM}{}{LAST}{behind}", chunk(&event("x"))))]
    })
    .await;
    let router = route(config(&[("s-a", &server.address, "SERVING")], None)).await;
    for _ in 0..2 {
        let got = ask(&router.platform, "hint", 1000).await;
        assert_eq!((got.head.status, got.whole, got.body), (200, true, event("x")));
        sleep(Duration::from_millis(80)).await;
    }
    assert_eq!(server.connections.load(Ordering::SeqCst), connections);
}
