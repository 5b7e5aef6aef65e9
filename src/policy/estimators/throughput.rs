//! First-token times of the whole fleet and of each kind of machine, for a replica of size 1: one
//! twice as large prefills twice as fast, so far as nothing else is known. A kind's model stands
//! between the fleet's and a replica's own: a router of hundreds meets a replica too rarely to
//! learn its speed, but has met its kind.

use rustc_hash::FxHashMap;

use super::prefill_model::{LinearFit, LinearModel};
use crate::interface::Timestamp;

/// Weight of a new first token in the fleet's fit and in a kind's: about the last 64 count. Value:
/// a design choice, not measured alone.
const SAMPLE_WEIGHT: f64 = 1.0 / 64.0;
/// Most kinds of machine with a model of their own. Value: far more than fleets have; it bounds
/// memory under a list that names a new kind each time.
const MAX_KINDS: usize = 64;

/// One first token: `tokens` were prefilled in `seconds` by a replica of this kind and size.
#[derive(Clone, Copy, Debug)]
pub struct PrefillSample {
    /// The kind of machine.
    pub kind: u32,
    /// Its size, as the endpoint list has it.
    pub size: f64,
    /// Prompt tokens.
    pub tokens: f64,
    /// Seconds to the first token.
    pub seconds: f64,
}

/// The models of the fleet and of its kinds, and the sizes of its replicas.
#[derive(Clone, Debug)]
pub struct FleetThroughput {
    initial: LinearModel,
    decay_seconds: f64,
    mean_size: f64,
    largest_size: f64,
    fleet: PooledModel,
    kinds: FxHashMap<u32, PooledModel>,
}

/// A model over the samples of several replicas, for a replica of size 1.
#[derive(Clone, Copy, Debug)]
struct PooledModel {
    fit: LinearFit,
    model: LinearModel,
    updated_at: Timestamp,
}

impl PooledModel {
    fn new(model: LinearModel, now: Timestamp) -> PooledModel {
        PooledModel {
            fit: LinearFit::default(),
            model,
            updated_at: now,
        }
    }
}

impl FleetThroughput {
    /// Starts with the model of a replica of the mean size, which is 1 until sizes are known; what
    /// is measured decays back to it, to 1/e in `decay_seconds`.
    pub fn new(initial: LinearModel, decay_seconds: f64, now: Timestamp) -> FleetThroughput {
        FleetThroughput {
            initial,
            decay_seconds,
            mean_size: 1.0,
            largest_size: 1.0,
            fleet: PooledModel::new(initial, now),
            kinds: FxHashMap::default(),
        }
    }

    /// The replicas in service have these sizes, each over 0. With none, what was known of sizes
    /// stays.
    pub fn set_sizes(&mut self, sizes: impl Iterator<Item = f64> + Clone) {
        let count = sizes.clone().count();
        if count == 0 {
            return;
        }
        let mean = sizes.clone().sum::<f64>() / count as f64;
        if self.fleet.model == self.initial.scaled(self.mean_size) {
            self.fleet.model = self.initial.scaled(mean);
        }
        self.mean_size = mean;
        self.largest_size = sizes.fold(0.0, f64::max);
    }

    /// A size relative to the mean.
    pub fn relative_to_mean(&self, size: f64) -> f64 {
        size / self.mean_size
    }

    /// A size relative to the largest.
    pub fn relative_to_largest(&self, size: f64) -> f64 {
        size / self.largest_size
    }

    /// Records a first token; `typical_tokens` are a prompt's usual uncached tokens.
    pub fn record(&mut self, sample: PrefillSample, typical_tokens: f64, now: Timestamp) {
        let PrefillSample {
            kind,
            size,
            tokens,
            seconds,
        } = sample;
        let prior = LinearModel {
            seconds_per_token: self.fleet.model.seconds_per_token,
            ..self.initial.scaled(self.mean_size)
        };
        self.fleet.fit.record(tokens, seconds * size, SAMPLE_WEIGHT);
        self.fleet.model = self.fleet.fit.model(prior, typical_tokens);
        self.fleet.updated_at = now;
        if self.kinds.len() >= MAX_KINDS && !self.kinds.contains_key(&kind) {
            self.kinds.clear();
        }
        let fleet = self.fleet.model;
        let pool = self
            .kinds
            .entry(kind)
            .or_insert_with(|| PooledModel::new(fleet, now));
        pool.fit.record(tokens, seconds * size, SAMPLE_WEIGHT);
        pool.model = pool.fit.model(fleet, typical_tokens);
        pool.updated_at = now;
    }

    /// The model of a replica of the mean size. Without new first tokens it decays to the initial
    /// one: a model beyond every latency objective would prevent the attempts that could correct
    /// it.
    pub fn fleet_model(&self, now: Timestamp) -> LinearModel {
        self.unit_model(now).scaled(1.0 / self.mean_size)
    }

    /// The model of a replica of size 1.
    fn unit_model(&self, now: Timestamp) -> LinearModel {
        let initial = self.initial.scaled(self.mean_size);
        let age = self.age(&self.fleet, now);
        self.fleet.model.decayed_towards(initial, age)
    }

    /// The age of a model's last sample, in times of decay to 1/e.
    fn age(&self, pool: &PooledModel, now: Timestamp) -> f64 {
        (now - pool.updated_at).as_secs_f64() / self.decay_seconds
    }

    /// The model of a replica of this kind and size of which nothing else is known.
    pub fn model_for(&self, kind: u32, size: f64, now: Timestamp) -> LinearModel {
        let fleet = self.unit_model(now);
        let model = match self.kinds.get(&kind) {
            Some(pool) => pool.model.decayed_towards(fleet, self.age(pool, now)),
            None => fleet,
        };
        model.scaled(1.0 / size)
    }
}

#[cfg(test)]
mod tests;
