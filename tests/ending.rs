//! The time from the signal to end to the program's end: what was taken is answered, and nobody is led into a request
//! that can't be.

mod common;

use std::time::Duration;

use common::peers::*;
use tokio::time::{Instant, sleep, timeout};

#[tokio::test]
async fn at_the_end_what_was_taken_is_answered_and_late_connections_still_are() {
    let slow = [vec![Step::Sleep(100)], answer("x")].concat();
    let server = peer(move |_, _, _| slow.clone()).await;
    let router = route(config(&[("s-a", &server.address, "SERVING")], None)).await;
    let (mut idle, mut busy) = (Client::new(&router.platform).await, Client::new(&router.platform).await);
    busy.send(&request("hint", 1000, "")).await;
    until("the request is there", || server.requests() == 1).await;
    router.end.send(true).unwrap();
    assert_eq!(ask(&router.platform, "hint", 1000).await.head.status, 200);
    assert_eq!(idle.call(&request("hint", 1000, "")).await.head.get("connection"), Some("close"));
    assert!(busy.answer().await.unwrap().whole);
    timeout(Duration::from_secs(10), router.done).await.expect("ends").unwrap();
}

/// A request that comes long after the signal to end could not be answered before the platform ends the program:
/// no connection is open to it by then, whenever it was opened.
#[tokio::test]
async fn at_the_end_no_connection_takes_a_late_request() {
    let server = peer(|_, _, _| answer("x")).await;
    let router = route(config(&[("s-a", &server.address, "SERVING")], None)).await;
    let start = Instant::now();
    router.end.send(true).unwrap();
    let (mut early, mut half) = (Client::new(&router.platform).await, Client::new(&router.platform).await);
    half.send(&request("hint", 1000, "")[..40]).await;
    sleep(Duration::from_millis(200)).await;
    let mut late = Client::new(&router.platform).await;
    assert!(early.answer().await.is_none() && late.answer().await.is_none());
    assert!(half.answer().await.is_none_or(|got| got.head.status == 408));
    assert!(start.elapsed() < Duration::from_millis(1100), "{:?}", start.elapsed());
}

/// A stream goes on after the signal for as long as its server sends, to its last chunk. On its connection, which has
/// been told of no close, a request that comes at once behind the stream finds a close and no half answer.
#[tokio::test]
async fn at_the_end_a_stream_is_passed_on_to_its_last_chunk() {
    let text = chunk(&event("late")) + "0\r\n\r\n";
    let head = format!("{STREAM}{}", chunk(&event("early")));
    let server =
        peer(move |_, _, _| vec![Step::Write(head.clone()), Step::Gate, Step::Write(text.clone())]).await;
    let router = route(config(&[("s-a", &server.address, "SERVING")], None)).await;
    let mut client = Client::new(&router.platform).await;
    client.send(&request("hint", 1000, "")).await;
    until("the request is there", || server.requests() == 1).await;
    router.end.send(true).unwrap();
    // well beyond the last moment at which a request is taken
    sleep(Duration::from_millis(1500)).await;
    server.gate.add_permits(1);
    let got = client.answer().await.unwrap();
    assert!(got.whole && got.body.contains("late"), "{}", got.body);
    assert!(client.answer().await.is_none());
    timeout(Duration::from_secs(10), router.done).await.expect("ends").unwrap();
}
