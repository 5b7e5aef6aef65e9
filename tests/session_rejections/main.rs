//! Sessions of many turns while servers, links and routers fail, at half of the fleet's capacity:
//! no set of sessions is rejected throughout while servers have capacity. Clients don't retry.

mod cluster;
mod faults;
mod rejections;
mod sessions;

use std::path::PathBuf;

use rejections::ClassRejections;

/// Seeds that every run of the test uses.
const SEEDS: std::ops::RangeInclusive<u64> = 1..=16;
/// Seeds that run concurrently.
const CONCURRENT_RUNS: usize = 2;
/// The most by which the fraction of a class's sessions that are rejected throughout may exceed the
/// one expected if each turn were rejected by chance: the platform's target.
const MAX_EXCESS: f64 = 0.12;

/// `SESSION_SEEDS=FROM-TO` runs other seeds, `SESSION_PROGRAM=FILE` another build.
fn seeds() -> Vec<u64> {
    let variable = std::env::var("SESSION_SEEDS").ok();
    let range = variable.as_deref().and_then(|text| text.split_once('-'));
    match range.and_then(|(from, to)| Some((from.parse().ok()?, to.parse().ok()?))) {
        Some((from, to)) => (from..=to).collect(),
        None => SEEDS.collect(),
    }
}

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
            let run = result.expect("a run");
            for (class, name) in cluster::CLASSES.iter().enumerate() {
                let counted = ClassRejections::count(&run.sessions, class);
                println!("seed {seed} {name}: {counted}");
                assert!(counted.turns > 100, "seed {seed}: hardly any turn was sent");
                if counted.excess() > MAX_EXCESS {
                    violations.push((seed, name, counted.excess()));
                }
            }
            println!("seed {seed}: rejections: {:?}", run.reasons);
        }
    }
    assert!(violations.is_empty(), "{violations:?}");
}
