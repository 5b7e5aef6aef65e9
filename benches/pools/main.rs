//! One balancer that knows which hosts serve which model, beside one balancer for each pool of
//! hosts, on a simulated fleet: `cargo bench --bench pools`. Results: docs/measurements/pools.md.
//!
//! Half of the hosts serve both models. A host reads prompts one after another, and its streams
//! stand still meanwhile: an answer is good if its first token is in time and its tokens keep the
//! token interval's objective.

mod arrivals;
mod fleet;
mod hosts;
mod metrics;
mod schedule;
mod simulation;

use fleet::Topology;
use metrics::Metrics;

/// Loads, as a share of the prompt tokens that the fleet can read.
const LOADS: [f64; 4] = [0.3, 0.4, 0.5, 0.6];
/// Runs for each load and topology.
const SEEDS: std::ops::RangeInclusive<u64> = 1..=5;
/// A prime that sets the seeds' random numbers apart.
const SEED_FACTOR: u64 = 7_919;

fn main() {
    println!(
        "| load | balancers | good | first token in time | refused | wait behind others' prompts, mean ms | p99 ms | a step, us |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for load in LOADS {
        for topology in [Topology::BalancerPerModel, Topology::SharedBalancer] {
            let mut total = Metrics::default();
            for seed in SEEDS {
                total.add(simulation::run(topology, load, seed * SEED_FACTOR));
            }
            total.print_row(load, topology);
        }
    }
}
