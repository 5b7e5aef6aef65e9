//! Fault tests of one concern: every accepted request ends once, whatever happens to the routers'
//! processes, to model servers and to other clients. The schedule is drawn from a seed; the checker
//! reads what the peers recorded.

mod check;
mod check_tests;
mod client_action;
mod clients;
mod failing_calls;
mod http;
mod record;
mod seed_run;
mod servers;

use std::path::PathBuf;

use record::{AttemptEnd, DeliveryEnd, Record};
use seed_run::{Played, SystemCalls};

/// Seeds that are played in every run of the tests.
const SEEDS: std::ops::RangeInclusive<u64> = 1..=4;
/// The same with system calls that fail.
const SEEDS_OF_FAILING_CALLS: std::ops::RangeInclusive<u64> = 1..=10;
/// Plays side by side.
const SIDE_BY_SIDE: usize = 5;

/// The plays of one test go on at a time.
static PLAYING: tokio::sync::Mutex<()> = tokio::sync::Mutex::const_new(());

/// `FAULT_SEEDS=FROM-TO` plays others, `FAULT_PROGRAM=FILE` another build.
fn seeds(otherwise: std::ops::RangeInclusive<u64>) -> Vec<u64> {
    let asked = std::env::var("FAULT_SEEDS").ok();
    let range = asked.as_deref().and_then(|text| text.split_once('-'));
    match range.and_then(|(from, to)| Some((from.parse().ok()?, to.parse().ok()?))) {
        Some((from, to)) => (from..=to).collect(),
        None => otherwise.collect(),
    }
}

fn program() -> PathBuf {
    std::env::var_os("FAULT_PROGRAM")
        .unwrap_or_else(|| env!("CARGO_BIN_EXE_stilespan").into())
        .into()
}

/// A line about a play.
fn summary(seed: u64, record: &Record) -> String {
    let ends =
        |is: fn(&DeliveryEnd) -> bool| record.deliveries.iter().filter(|d| is(&d.end)).count();
    format!(
        "seed {seed}: {} deliveries: {} answered, {} declined, {} cut, {} left, {} closed unread; {} attempts, {} given up; {} outages",
        record.deliveries.len(),
        ends(|end| matches!(end, DeliveryEnd::Answered { .. })),
        ends(|end| matches!(end, DeliveryEnd::Declined(_))),
        ends(|end| matches!(end, DeliveryEnd::Cut { .. })),
        ends(|end| *end == DeliveryEnd::Left),
        ends(|end| *end == DeliveryEnd::ClosedUnread),
        record.attempts.len(),
        record
            .attempts
            .iter()
            .filter(|attempt| attempt.end == AttemptEnd::GivenUp)
            .count(),
        record.outages.len(),
    )
}

/// Plays these seeds and holds each against the rules.
async fn play_seeds(seeds: Vec<u64>, calls: SystemCalls) {
    let (program, mut broken) = (program(), Vec::new());
    for seeds in seeds.chunks(SIDE_BY_SIDE) {
        let playing = PLAYING.lock().await;
        let plays = seeds
            .iter()
            .map(|&seed| seed_run::play(seed, &program, calls));
        let played = futures_util::future::join_all(plays).await;
        drop(playing);
        for (seed, played) in seeds.iter().zip(played) {
            let Played {
                record,
                failed_calls,
            } = played.expect("a play");
            println!(
                "{}; {failed_calls} system calls failed",
                summary(*seed, &record)
            );
            assert!(
                record.deliveries.len() > 100,
                "seed {seed}: hardly anything was asked"
            );
            assert_eq!(
                failed_calls > 0,
                calls == SystemCalls::Failing,
                "seed {seed}: {failed_calls} failed"
            );
            for found in check::violations(&record) {
                println!(
                    "seed {seed}: {:?}: {}: {}",
                    found.rule, found.id, found.detail
                );
                broken.push((*seed, found.rule));
            }
        }
    }
    assert!(broken.is_empty(), "{broken:?}");
}

#[tokio::test]
async fn every_accepted_request_ends_once() {
    play_seeds(seeds(SEEDS), SystemCalls::Sound).await;
}

#[tokio::test]
async fn every_accepted_request_ends_once_under_failing_calls() {
    play_seeds(seeds(SEEDS_OF_FAILING_CALLS), SystemCalls::Failing).await;
}
