//! A router process with the least memory, or the least descriptors, serves all clients that the
//! platform lets connect. A program of its own, so that its plays do not run beside those of
//! `memory_limit`.

mod common;
#[path = "memory_limit/ordinary_clients.rs"]
mod ordinary_clients;
#[path = "memory_limit/play.rs"]
mod play;
#[path = "memory_limit/slow_clients.rs"]
mod slow_clients;
#[path = "memory_limit/slow_servers.rs"]
mod slow_servers;

use rstest::rstest;

use play::{Limits, play};
use slow_clients::SlowClient;

/// Guards against limits that admit fewer clients than the platform lets connect: all of them are
/// served at once, with answers that stay open beside ordinary requests.
#[rstest]
#[case::least_memory(Limits::LEAST_MEMORY)]
#[case::least_limits(Limits::with_a_third(32, 256))]
#[case::least_descriptors(Limits::with_a_third(192, 256))]
#[tokio::test]
async fn a_third_of_the_descriptors_is_served(#[case] limits: Limits) {
    let ordinary = play(
        "streams",
        limits,
        &[SlowClient::Reader { event_bytes: 1000 }],
    )
    .await;
    ordinary.check_answered();
    ordinary.check_served();
}

/// The least memory holds the slow clients that the platform lets connect, too.
#[rstest]
#[case::readers_of_small_chunks("small-chunks", &[SlowClient::Reader { event_bytes: 4 << 10 }])]
#[case::half_heads("half-heads", &[SlowClient::HalfHead])]
#[case::large_bodies("large-bodies", &[SlowClient::LargeBody])]
#[tokio::test]
async fn least_memory_holds_slow_clients(#[case] name: &str, #[case] kinds: &'static [SlowClient]) {
    play(name, Limits::LEAST_MEMORY, kinds)
        .await
        .check_answered();
}
