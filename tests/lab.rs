//! Several processes of the built program beside one another, with faults on the links between them
//! and their peers. The rules are held against what the stand-ins and the clients saw.

use std::path::Path;

use cluster_test::{RequestOutcome, RunRecord, Scenario, check};
use rstest::rstest;
use tokio::sync::Mutex;

/// Plays a scenario with each of its seeds, side by side, or with the seeds that `LAB_SEEDS` asks
/// for (1 to so many). With `LAB_RECORDS` the records stay there as JSON.
async fn play(name: &str) -> Vec<RunRecord> {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join(format!("tests/scenarios/{name}.toml"));
    let scenario = Scenario::parse(&std::fs::read_to_string(&file).unwrap()).unwrap();
    let asked = std::env::var("LAB_SEEDS").ok().and_then(|n| n.parse().ok());
    let seeds = asked.map_or(scenario.seeds.clone(), |n: u64| (1..=n).collect());
    let program = Path::new(env!("CARGO_BIN_EXE_stilespan"));
    let mut records = Vec::new();
    for seeds in seeds.chunks(5) {
        let plays = seeds
            .iter()
            .map(|&seed| cluster_test::run_scenario(&scenario, seed, program));
        for record in futures_util::future::join_all(plays).await {
            records.push(record.unwrap());
        }
    }
    if let Ok(folder) = std::env::var("LAB_RECORDS") {
        for record in &records {
            let path = Path::new(&folder).join(format!("{name}-{}.json", record.seed));
            std::fs::write(path, serde_json::to_string_pretty(record).unwrap()).unwrap();
        }
    }
    records
}

/// Taken by the scenario that runs: each starts fifteen routers with their peers, and beside three
/// others on a busy machine the routers would be starved rather than their links cut.
static RUNNING: Mutex<()> = Mutex::const_new(());

#[rstest]
#[case("silent_watch")]
#[case("lost_links")]
#[case("late_sleeper")]
#[case("restarts")]
#[tokio::test]
async fn every_rule_holds(#[case] name: &str) {
    let _running = RUNNING.lock().await;
    for record in play(name).await {
        let broken = check::violations(&record);
        assert!(
            broken.is_empty(),
            "{name}, seed {}: {broken:#?}",
            record.seed
        );
        let answered = record
            .requests
            .iter()
            .filter(|request| request.outcome == RequestOutcome::Completed)
            .count();
        assert!(
            answered * 2 > record.requests.len(),
            "{name}, seed {}: {answered} answered",
            record.seed
        );
    }
}
