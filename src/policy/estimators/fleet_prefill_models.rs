//! First-token times of the whole fleet and of each kind of machine, for a replica of size 1.
//!
//! Until it is measured, a replica twice as large is assumed to prefill twice as fast. A kind's
//! model is used between the fleet's model and the replica's own: among hundreds of routers, one
//! router uses a replica too rarely to learn its speed, but has used other replicas of its kind.

use rustc_hash::FxHashMap;

use super::prefill_model::{LinearFit, LinearModel};
use crate::interface::Timestamp;

/// Weight of a new first token in the fits of the fleet and of a kind: about the last 64 count.
const SAMPLE_WEIGHT: f64 = 1.0 / 64.0;
/// Maximum number of machine kinds with their own model, far more than fleets have. It bounds the
/// memory if the endpoint list names a new kind each time.
const MAX_KINDS: usize = 64;

/// A measured first token: a replica of this kind and size prefilled `tokens` in `seconds`.
#[derive(Clone, Copy, Debug)]
pub struct PrefillSample {
    /// The kind of machine.
    pub kind: u32,
    /// The replica's size, as given in the endpoint list.
    pub size: f64,
    /// Prefilled prompt tokens.
    pub tokens: f64,
    /// Seconds to the first token.
    pub seconds: f64,
}

/// The models of the fleet and of each kind of machine, and the sizes of the replicas.
#[derive(Clone, Debug)]
pub struct FleetPrefillModels {
    initial: LinearModel,
    decay_seconds: f64,
    mean_size: f64,
    largest_size: f64,
    fleet: PooledModel,
    kinds: FxHashMap<u32, PooledModel>,
}

/// A model from the samples of several replicas, for a replica of size 1.
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

impl FleetPrefillModels {
    /// Starts with the model of a replica of the mean size, which is 1 until sizes are known.
    /// Measurements decay back to this model, to 1/e in `decay_seconds`.
    pub fn new(initial: LinearModel, decay_seconds: f64, now: Timestamp) -> FleetPrefillModels {
        FleetPrefillModels {
            initial,
            decay_seconds,
            mean_size: 1.0,
            largest_size: 1.0,
            fleet: PooledModel::new(initial, now),
            kinds: FxHashMap::default(),
        }
    }

    /// Sets the sizes of the replicas in service, each greater than 0. If no replica is in service,
    /// the previous sizes are kept.
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

    /// A size relative to the mean size.
    pub fn relative_to_mean(&self, size: f64) -> f64 {
        size / self.mean_size
    }

    /// A size relative to the largest size.
    pub fn relative_to_largest(&self, size: f64) -> f64 {
        size / self.largest_size
    }

    /// Records a first token; `typical_tokens` is the usual number of uncached prompt tokens.
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
    /// model: a model that exceeds every latency objective would otherwise prevent the attempts
    /// that could correct it.
    pub fn fleet_model(&self, now: Timestamp) -> LinearModel {
        self.unit_model(now).scaled(1.0 / self.mean_size)
    }

    /// The fleet's model for a replica of size 1.
    fn unit_model(&self, now: Timestamp) -> LinearModel {
        let initial = self.initial.scaled(self.mean_size);
        let age = self.age(&self.fleet, now);
        self.fleet.model.decayed_towards(initial, age)
    }

    /// The age of a model's last sample, as a multiple of `decay_seconds`.
    fn age(&self, pool: &PooledModel, now: Timestamp) -> f64 {
        (now - pool.updated_at).as_secs_f64() / self.decay_seconds
    }

    /// The model of a replica of which only the kind and the size are known.
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
