//! Guards against sessions whose turns are all rejected although servers have capacity. Clients
//! send sessions of many turns at half of the fleet's capacity and do not retry, while servers,
//! links and routers fail.

mod cluster;
mod faults;
mod rejections;
mod sessions;

use std::path::PathBuf;

use rejections::ClassRejections;

/// Default seeds of the test.
const SEEDS: std::ops::RangeInclusive<u64> = 1..=16;
/// Maximum number of seeds that run concurrently.
const CONCURRENT_RUNS: usize = 2;
/// Maximum excess of rejected sessions in a class. The excess is the fraction of sessions of which
/// all turns were rejected, minus the fraction expected if turns were rejected independently of
/// each other. The limit is the platform's target.
const MAX_EXCESS: f64 = 0.12;

/// The seeds to run: the range in `SESSION_SEEDS=FROM-TO`, or the default.
fn seeds() -> Vec<u64> {
    let variable = std::env::var("SESSION_SEEDS").ok();
    let range = variable.as_deref().and_then(|text| text.split_once('-'));
    match range.and_then(|(from, to)| Some((from.parse().ok()?, to.parse().ok()?))) {
        Some((from, to)) => (from..=to).collect(),
        None => SEEDS.collect(),
    }
}

/// The router program to test: the file in `SESSION_PROGRAM=FILE`, or this build.
fn program() -> PathBuf {
    std::env::var_os("SESSION_PROGRAM")
        .unwrap_or_else(|| env!("CARGO_BIN_EXE_stilespan").into())
        .into()
}

#[tokio::test]
async fn no_session_is_rejected_throughout() {
    let (program, seeds) = (program(), seeds());
    let mut violations = Vec::new();
    for seeds in seeds.chunks(CONCURRENT_RUNS) {
        let runs = seeds.iter().map(|&seed| cluster::run_seed(seed, &program));
        let results = futures_util::future::join_all(runs).await;
        for (&seed, result) in seeds.iter().zip(results) {
            let run = result.expect("the run failed");
            for (class, name) in cluster::CLASSES.iter().enumerate() {
                let rejections = ClassRejections::count(&run.sessions, class);
                println!("seed {seed} {name}: {rejections}");
                assert!(
                    rejections.turns > 100,
                    "seed {seed}: no more than 100 turns were sent"
                );
                if rejections.excess() > MAX_EXCESS {
                    violations.push((seed, name, rejections.excess()));
                }
            }
            println!("seed {seed}: {:?}", run.unserved);
        }
    }
    assert!(violations.is_empty(), "{violations:?}");
}
