//! Fault tests of one concern: every accepted request ends once, whatever happens to the routers' processes, to model servers
//! and to other clients. The schedule is drawn from a seed; the checker reads what the peers recorded.

mod check;
mod check_tests;
mod clients;
mod moves;
mod play;
mod record;
mod servers;
mod wire;

use std::path::PathBuf;

use record::{AttemptEnd, DeliveryEnd, Record};

/// Seeds that are played in every run of the tests.
const SEEDS: std::ops::RangeInclusive<u64> = 1..=4;
/// Plays side by side.
const SIDE_BY_SIDE: usize = 4;

/// `FAULT_SEEDS=FROM-TO` plays others, `FAULT_PROGRAM=FILE` another build.
fn seeds() -> Vec<u64> {
    let asked = std::env::var("FAULT_SEEDS").ok();
    let range = asked.as_deref().and_then(|text| text.split_once('-'));
    match range.and_then(|(from, to)| Some((from.parse().ok()?, to.parse().ok()?))) {
        Some((from, to)) => (from..=to).collect(),
        None => SEEDS.collect(),
    }
}

fn program() -> PathBuf {
    std::env::var_os("FAULT_PROGRAM").unwrap_or_else(|| env!("CARGO_BIN_EXE_stilespan").into()).into()
}

/// A line about a play.
fn summary(seed: u64, record: &Record) -> String {
    let ends = |is: fn(&DeliveryEnd) -> bool| record.deliveries.iter().filter(|d| is(&d.end)).count();
    format!(
        "seed {seed}: {} deliveries: {} answered, {} declined, {} cut, {} left, {} closed unread; {} attempts, {} given up; {} outages",
        record.deliveries.len(),
        ends(|end| matches!(end, DeliveryEnd::Answered { .. })),
        ends(|end| matches!(end, DeliveryEnd::Declined(_))),
        ends(|end| matches!(end, DeliveryEnd::Cut { .. })),
        ends(|end| *end == DeliveryEnd::Left),
        ends(|end| *end == DeliveryEnd::ClosedUnread),
        record.attempts.len(),
        record.attempts.iter().filter(|attempt| attempt.end == AttemptEnd::GivenUp).count(),
        record.outages.len(),
    )
}

#[tokio::test]
async fn every_accepted_request_ends_once() {
    let (program, mut broken) = (program(), Vec::new());
    for seeds in seeds().chunks(SIDE_BY_SIDE) {
        let plays = seeds.iter().map(|&seed| play::play(seed, &program));
        for (seed, record) in seeds.iter().zip(futures_util::future::join_all(plays).await) {
            let record = record.expect("a play");
            println!("{}", summary(*seed, &record));
            assert!(record.deliveries.len() > 100, "seed {seed}: hardly anything was asked");
            for found in check::violations(&record) {
                println!("seed {seed}: {:?}: {}: {}", found.rule, found.id, found.detail);
                broken.push((*seed, found.rule));
            }
        }
    }
    assert!(broken.is_empty(), "{broken:?}");
}
