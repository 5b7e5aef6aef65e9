//! Simulates the replicas of a replayed deployment: how long answers take, which attempts fail, and
//! how the endpoint list changes.

use rand::rngs::StdRng;
use rand::{Rng, RngExt};

use crate::replies::format_time;
use crate::wire_codes::{COMPLETED, CONNECT_FAILED, CONNECTION_RESET, ERROR, REJECTED};

/// Number of zones over which replicas and routers are spread.
pub const ZONES: u32 = 3;
/// Number of cells over which replicas are spread.
const CELLS: u32 = 5;
/// Maximum number of replicas in a fleet.
const MAX_REPLICAS: usize = 64;

/// Weights of replicas in the endpoint list, indexed by the number of the replica's model.
const WEIGHTS: [f64; 3] = [1.0, 2.0, 0.5];
/// Outcomes of attempts that fail.
const FAILURES: [u32; 4] = [REJECTED, CONNECTION_RESET, ERROR, CONNECT_FAILED];
/// Number of requests that a replica can serve concurrently; used for its load report.
const SLOTS: f64 = 32.0;
/// Time to the first token of an empty prompt, in microseconds.
const FIRST_TOKEN_US: f64 = 25_000.0;
/// Prefill time per prompt token that is not cached, in microseconds.
const PREFILL_US_PER_TOKEN: f64 = 60.0;
/// Time between two tokens of an answer, in microseconds.
const DECODE_US_PER_TOKEN: f64 = 1_500.0;

/// A replica's state in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lifecycle {
    /// The replica accepts requests.
    InService,
    /// The replica is draining.
    Terminating,
    /// The replica is removed.
    Terminated,
}

/// One replica.
#[derive(Clone, Debug)]
pub struct Replica {
    /// The replica's name.
    pub name: String,
    zone: u32,
    cell: u32,
    model: u32,
    weight: f64,
    /// When the replica was launched, in microseconds.
    launched_at: u64,
    lifecycle: Lifecycle,
    /// Factor on the duration of the replica's answers.
    latency_factor: f64,
    /// Probability that an attempt fails.
    failure_rate: f64,
    /// Number of attempts in flight.
    pub in_flight: u32,
}

/// The times and the outcome of an attempt that does not reach its timeout.
#[derive(Clone, Copy, Debug)]
pub struct AttemptCourse {
    /// Microseconds from the start of the attempt to its first token.
    pub first_token: u64,
    /// Microseconds from the start of the attempt to its end.
    pub end: u64,
    /// The protocol's code for the outcome.
    pub outcome: u32,
    /// Prompt tokens that the replica had cached.
    pub cached_tokens: u32,
}

/// All replicas.
#[derive(Debug)]
pub struct Fleet {
    replicas: Vec<Replica>,
    /// Number of replicas launched so far; part of the name of each new replica.
    launched: usize,
}

impl Fleet {
    /// Creates a fleet whose replicas are all in service. One replica in six was launched shortly
    /// before `now`.
    pub fn new(count: usize, now: u64, random: &mut StdRng) -> Fleet {
        let mut fleet = Fleet {
            replicas: Vec::new(),
            launched: 0,
        };
        for number in 0..count {
            let launched_at = if number % 6 == 5 { now - 3_000_000 } else { 0 };
            fleet.launch(launched_at, random);
        }
        fleet
    }

    fn launch(&mut self, launched_at: u64, random: &mut StdRng) {
        self.launched += 1;
        let model = random.random_range(0..WEIGHTS.len() as u32);
        self.replicas.push(Replica {
            name: format!("replica_{}", self.launched),
            zone: random.random_range(0..ZONES),
            cell: random.random_range(0..CELLS),
            model,
            weight: WEIGHTS[model as usize],
            launched_at,
            lifecycle: Lifecycle::InService,
            latency_factor: if random.random_bool(0.12) {
                6.0
            } else {
                random.random_range(0.7..1.4)
            },
            failure_rate: if random.random_bool(0.1) { 0.5 } else { 0.01 },
            in_flight: 0,
        });
    }

    /// The replica with the given name.
    pub fn find(&mut self, name: &str) -> Option<&mut Replica> {
        self.replicas
            .iter_mut()
            .find(|replica| replica.name == name)
    }

    /// The protocol lines of the complete endpoint list, which omits removed replicas.
    pub fn complete_list(&self, sheet: usize) -> String {
        let listed: Vec<&Replica> = self
            .replicas
            .iter()
            .filter(|r| r.lifecycle != Lifecycle::Terminated)
            .collect();
        list_lines(sheet, &listed)
    }

    /// Changes one or more replicas. Returns the protocol lines of the changed replicas.
    pub fn change(
        &mut self,
        sheet: usize,
        now: u64,
        live_weights: bool,
        random: &mut StdRng,
    ) -> String {
        let mut changed = Vec::new();
        for _ in 0..random.random_range(1..4) {
            let chosen = random.random_range(0..self.replicas.len());
            let count = self.replicas.len();
            let replica = &mut self.replicas[chosen];
            match random.random_range(0..6) {
                0 if replica.lifecycle == Lifecycle::InService => {
                    replica.lifecycle = Lifecycle::Terminating;
                }
                1 if replica.lifecycle == Lifecycle::Terminating => {
                    replica.lifecycle = Lifecycle::Terminated;
                }
                2 | 3 if replica.lifecycle == Lifecycle::Terminated => {
                    replica.lifecycle = Lifecycle::InService;
                    replica.launched_at = now.saturating_sub(500_000);
                }
                4 if live_weights => replica.weight = random.random_range(0.1..3.0),
                5 if count < MAX_REPLICAS => {
                    self.launch(now, random);
                    changed.push(self.replicas.len() - 1);
                    continue;
                }
                _ => replica.latency_factor = random.random_range(0.7..3.0),
            }
            changed.push(chosen);
        }
        changed.dedup();
        let entries: Vec<&Replica> = changed.iter().map(|&at| &self.replicas[at]).collect();
        list_lines(sheet, &entries)
    }
}

impl Replica {
    /// Draws the times and the outcome of an attempt at this replica.
    pub fn draw_attempt(
        &self,
        prompt_tokens: u32,
        output_tokens: u32,
        random: &mut impl Rng,
    ) -> AttemptCourse {
        let load_factor = 1.0 + f64::from(self.in_flight) / (6.0 * self.weight);
        let duration_factor = self.latency_factor * load_factor / self.weight.max(0.2);
        let cached_tokens = if random.random_bool(0.3) {
            prompt_tokens / 2
        } else {
            0
        };
        let prefill_us = (f64::from(prompt_tokens - cached_tokens) * PREFILL_US_PER_TOKEN
            + FIRST_TOKEN_US)
            * duration_factor;
        let decode_us = f64::from(output_tokens) * DECODE_US_PER_TOKEN * duration_factor;
        let outcome = match random.random_bool(self.failure_rate) {
            true => FAILURES[random.random_range(0..FAILURES.len())],
            false => COMPLETED,
        };
        let first_token = prefill_us as u64;
        AttemptCourse {
            first_token,
            end: first_token + decode_us as u64,
            outcome,
            cached_tokens,
        }
    }

    /// The replica's load report. The settings of the deployment name the values in order; values
    /// after the last name are ignored.
    pub fn load_report(&self) -> String {
        let utilization = f64::from(self.in_flight) / SLOTS;
        let served_per_second = 40.0 * self.weight / self.latency_factor;
        format!(
            "{},{},{utilization:.4},{served_per_second:.3}",
            self.in_flight,
            self.in_flight / 2
        )
    }
}

/// The protocol lines of an endpoint list with the given entries.
fn list_lines(sheet: usize, entries: &[&Replica]) -> String {
    let mut text = format!("DIRECTORY sheet={sheet} members-list={}\n", entries.len());
    for replica in entries {
        let lifecycle = match replica.lifecycle {
            Lifecycle::InService => "in_service",
            Lifecycle::Terminating => "terminating",
            Lifecycle::Terminated => "terminated",
        };
        text.push_str(&format!(
            "REPLICA replica={} lifecycle={lifecycle} az={} pod={} model={} rating={:.3} launched={}\n",
            replica.name,
            replica.zone,
            replica.cell,
            replica.model,
            replica.weight,
            format_time(replica.launched_at),
        ));
    }
    text
}
