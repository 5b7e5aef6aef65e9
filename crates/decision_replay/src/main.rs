//! Sends the same seeded events to two builds of the simulator adapter and compares their replies
//! byte for byte.
//!
//! A change that only renames or moves code of the decision module must not change any reply.
//! Events depend on earlier replies, so a single different decision also changes later events.
//!
//! Usage: `decision_replay BASE_ADAPTER CHANGED_ADAPTER [SEEDS_PER_DEPLOYMENT]`
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod actions;
mod adapter;
mod deployments;
mod due_events;
mod event_queue;
mod fleet;
mod in_flight;
mod pending_event;
mod replay;
mod replies;
mod requests;
mod simulation;
mod totals;
mod wire_codes;

use std::path::PathBuf;
use std::process::ExitCode;

use replay::ReplayError;
use totals::Totals;

/// Number of seeds replayed on each deployment if the command line gives none.
const DEFAULT_SEEDS: u64 = 3;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let (base, changed) = match arguments.as_slice() {
        [base, changed, ..] => (PathBuf::from(base), PathBuf::from(changed)),
        _ => {
            eprintln!("usage: decision_replay BASE_ADAPTER CHANGED_ADAPTER [SEEDS_PER_DEPLOYMENT]");
            return ExitCode::FAILURE;
        }
    };
    let seeds = arguments
        .get(2)
        .and_then(|text| text.parse().ok())
        .unwrap_or(DEFAULT_SEEDS);
    let mut sum = Totals::default();
    for deployment in deployments::all() {
        for seed in 1..=seeds {
            match replay::replay(&deployment, seed, &base, &changed) {
                Ok(totals) => {
                    println!("{} seed {seed}: {totals}", deployment.name);
                    sum.add(&totals);
                }
                Err(error) => return report(deployment.name, seed, &error),
            }
        }
    }
    println!("same decisions: {sum}");
    ExitCode::SUCCESS
}

fn report(deployment: &str, seed: u64, error: &ReplayError) -> ExitCode {
    eprintln!("{deployment} seed {seed}: {error}");
    ExitCode::FAILURE
}
