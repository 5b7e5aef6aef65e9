//! Connections to model servers that are reused, and what an earlier answer may leave on them.

mod common;

use std::time::Duration;

use common::peers::*;
use rstest::rstest;
use tokio::time::{sleep, timeout};

/// A server writes a second answer some milliseconds after the first, while the connection's next
/// request is on its way: it is relayed to no client.
#[rstest]
#[case::at_once(0)]
#[case::a_little_later(4)]
#[case::some_milliseconds_later(20)]
#[tokio::test]
async fn late_second_answer_is_discarded(#[case] later_ms: u64) {
    let two_answers = move |text: &str| {
        [
            answer(text),
            vec![Step::Sleep(later_ms)],
            answer("second answer"),
        ]
        .concat()
    };
    let server = peer(move |n, _, _| {
        if n % 2 == 0 {
            two_answers(&format!("answer {n}"))
        } else {
            answer("again")
        }
    })
    .await;
    let router = route(config(&[("s-a", &server.address, "SERVING")], None)).await;
    for _ in 0..5 {
        let mut client = Client::new(&router.platform).await;
        for _ in 0..2 {
            let got = timeout(
                Duration::from_secs(5),
                client.call(&request("hint", 1000, "")),
            )
            .await
            .unwrap();
            assert!(got.whole && !got.body.contains("second answer"), "{got:?}");
        }
        sleep(Duration::from_millis(80)).await;
    }
}
