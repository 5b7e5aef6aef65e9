//! A router process with little memory stays within it while hundreds of slow peers are connected,
//! and answers ordinary clients beside them in time.
//!
//! `MEMORY_PROGRAM=FILE` runs another build of the router, `MEMORY_MIB` sets another limit.

#[path = "../common/mod.rs"]
mod common;
mod ordinary_clients;
mod play;
mod slow_clients;
mod slow_servers;

use rstest::rstest;

use play::{Limits, play};
use slow_clients::SlowClient;

/// Guards against buffers whose size is limited for one connection only.
#[rstest]
#[case::readers_of_small_chunks("small-chunks", &[SlowClient::Reader { event_bytes: 4 << 10 }])]
#[case::readers_of_large_chunks("large-chunks", &[SlowClient::Reader { event_bytes: 60 << 10 }])]
#[case::readers_of_largest_chunks("largest-chunks", &[SlowClient::Reader { event_bytes: 250 << 10 }])]
#[case::writers_of_bodies("bodies", &[SlowClient::BodyWriter])]
#[case::half_bodies("half-bodies", &[SlowClient::HalfBody])]
#[case::heads_of_many_fields("fields", &[SlowClient::ManyFields])]
#[case::half_heads("half-heads", &[SlowClient::HalfHead])]
#[tokio::test]
async fn memory_stays_within_the_limit(#[case] name: &str, #[case] kinds: &'static [SlowClient]) {
    let ordinary = play(name, Limits::USUAL, kinds).await;
    ordinary.check_answered();
    ordinary.check_served();
}

/// Beside requests that servers read slowly, the decision module may reject others, but in time.
#[rstest]
#[case::slow_servers("slow-servers", &[SlowClient::LargeBody])]
#[case::mixed("mixed", &[
    SlowClient::Reader { event_bytes: 60 << 10 },
    SlowClient::BodyWriter,
    SlowClient::HalfBody,
    SlowClient::ManyFields,
    SlowClient::HalfHead,
    SlowClient::LargeBody,
    SlowClient::Reader { event_bytes: 250 << 10 },
])]
#[tokio::test]
async fn memory_stays_within_the_limit_beside_slow_servers(
    #[case] name: &str,
    #[case] kinds: &'static [SlowClient],
) {
    play(name, Limits::USUAL, kinds).await.check_answered();
}
