//! Admission control decides which requests are admitted when more arrive than can be served in
//! time.
//!
//! Under overload, some requests must be rejected, and early. A fraction of the arrivals is
//! admitted. Each arrival is admitted by a random draw that favours requests with a high ratio of
//! value to cost (`sampling`). The fraction decreases when first tokens miss their objective, and
//! grows back over time.

mod miss_rate;
mod sampling;

use miss_rate::MissRate;
use rustc_hash::FxHashMap;
use sampling::AdmissionSampler;

use super::estimators::running_mean;
use crate::interface::{Settings, Span, Timestamp};

/// The miss rate of first tokens that counts as full overload. A lower miss rate cuts the admitted
/// fraction proportionally less, so that single misses of one faulty replica don't cause a third of
/// the arrivals to be rejected.
const OVERLOAD_MISS_RATE: f64 = 0.5;
/// Weight of a new outcome in the running mean of the time between outcomes, which covers about the
/// last 32 outcomes.
const OUTCOME_SAMPLE_WEIGHT: f64 = 1.0 / 32.0;
/// The admitted fraction does not fall below the fraction of requests that are in time, raised to
/// this power: misses that continue despite shedding are caused by faults.
const MIN_IN_TIME_EXPONENT: i32 = 4;
/// The time in which the admitted fraction grows back, in multiples of the shortest first-token
/// objective. The token interval of an admitted stream is measured only when the stream ends,
/// several objectives later.
const RECOVERY_OBJECTIVES: f64 = 16.0;
/// The minimum admitted fraction. Some requests must be admitted so that a recovery is detected.
const MIN_ADMITTED_FRACTION: f64 = 1.0 / 64.0;
/// Initial value of the running mean of the time between outcomes, in multiples of the shortest
/// first-token objective. The first outcomes soon replace it.
const INITIAL_OUTCOME_SPACING: f64 = 0.1;
/// Upper limit of the admitted fraction that is applied to expensive migrations. A migration delays
/// other requests even when all arrivals are admitted.
const MAX_MIGRATION_FRACTION: f64 = 0.9;
/// Range to which the shortest objective is clamped, in seconds; no sensible setting is outside it.
const MIN_OBJECTIVE_SECONDS: f64 = 1e-3;
const MAX_OBJECTIVE_SECONDS: f64 = 1e3;

/// A tenant's token bucket, counted in requests.
#[derive(Clone, Copy, Debug)]
struct QuotaCredit {
    requests: f64,
    as_of: Timestamp,
}

/// Admission control. The outer instance is for model 0, and contains one instance for each other
/// model.
#[derive(Debug, Default)]
pub(super) struct AdmissionControl {
    /// The fraction of arrivals that is admitted, from 0 to 1.
    admitted_fraction: f64,
    /// The shortest first-token objective of all classes, in seconds.
    shortest_objective: f64,
    /// The running mean of the time between outcomes, in multiples of the shortest objective.
    outcome_spacing: f64,
    /// The recent rate of missed first tokens, each counted by its miss weight.
    miss_rate: MissRate,
    last_outcome: Timestamp,
    last_growth: Timestamp,
    sampler: AdmissionSampler,
    quota_credits: Vec<QuotaCredit>,
    by_model: FxHashMap<u32, AdmissionControl>,
}

impl AdmissionControl {
    /// Creates admission control that initially admits all requests.
    pub(super) fn new(settings: &Settings, now: Timestamp) -> Self {
        let empty = QuotaCredit {
            requests: 0.0,
            as_of: now,
        };
        let shortest_objective = settings
            .classes
            .iter()
            .map(|class| class.first_token_objective.as_secs_f64())
            .fold(f64::INFINITY, f64::min)
            .clamp(MIN_OBJECTIVE_SECONDS, MAX_OBJECTIVE_SECONDS);
        AdmissionControl {
            admitted_fraction: 1.0,
            shortest_objective,
            outcome_spacing: INITIAL_OUTCOME_SPACING,
            last_outcome: now,
            last_growth: now,
            quota_credits: vec![empty; settings.quotas.len()],
            ..AdmissionControl::default()
        }
    }

    /// Returns the shortest first-token objective of all classes, in seconds.
    pub(super) fn shortest_objective(&self) -> f64 {
        self.shortest_objective
    }

    /// Returns the admission control for one model's requests. It is separate so that failures of
    /// the servers of one model don't shed requests for other models. Tenants' quotas apply to all
    /// models together.
    pub(super) fn for_model(
        &mut self,
        model: u32,
        settings: &Settings,
        now: Timestamp,
    ) -> &mut AdmissionControl {
        if model == 0 {
            return self;
        }
        self.by_model
            .entry(model)
            .or_insert_with(|| AdmissionControl::new(settings, now))
    }

    /// Returns the weight of a tenant's next request: 1 within the tenant's quota at this router,
    /// and [`Settings::over_quota_weight`] beyond it.
    pub(super) fn tenant_weight(
        &mut self,
        settings: &Settings,
        tenant: usize,
        now: Timestamp,
    ) -> f64 {
        let Some(credit) = self.quota_credits.get_mut(tenant) else {
            return 1.0;
        };
        let rate = settings.quotas[tenant] / f64::from(settings.router_count);
        let longest_objective = settings
            .classes
            .iter()
            .map(|class| class.first_token_objective.as_secs_f64())
            .fold(0.0, f64::max);
        let burst = (rate * longest_objective).max(1.0);
        let refill = rate * (now - credit.as_of).as_secs_f64();
        credit.requests = (credit.requests + refill).min(burst);
        credit.as_of = now;
        if credit.requests >= 1.0 {
            credit.requests -= 1.0;
            1.0
        } else {
            settings.over_quota_weight
        }
    }

    /// Returns the lowest admitted fraction of all models. The fraction of a model is the one at
    /// its last arrival or outcome.
    pub(super) fn lowest_admitted_fraction(&self) -> f64 {
        self.by_model
            .values()
            .map(|control| control.admitted_fraction)
            .fold(self.admitted_fraction, f64::min)
    }

    /// Returns the highest miss rate of all models, from 0 to 1.
    pub(super) fn highest_miss_rate(&self) -> f64 {
        self.by_model
            .values()
            .map(|control| control.miss_rate.rate())
            .fold(self.miss_rate.rate(), f64::max)
    }

    /// Returns the fraction of arrivals that is admitted now.
    pub(super) fn admitted_fraction(&mut self, now: Timestamp) -> f64 {
        self.grow(now);
        self.admitted_fraction
    }

    /// Returns whether an arrival is admitted. `value` is its value divided by its cost, and `draw`
    /// a uniform random number from 0 to 1.
    pub(super) fn admits(&mut self, value: f64, draw: f64, now: Timestamp) -> bool {
        self.grow(now);
        draw <= self.sampler.sample_arrival(value, self.admitted_fraction)
    }

    /// Returns whether a request that was admitted with this draw is still admitted after its ratio
    /// of value to cost has changed to `value`.
    pub(super) fn still_admits(&self, value: f64, draw: f64) -> bool {
        let fraction = self.admitted_fraction.min(MAX_MIGRATION_FRACTION);
        draw <= self.sampler.probability(value, fraction)
    }

    /// Increases the admitted fraction in proportion to the time since the last call. The growth
    /// does not depend on outcomes, because outcomes are few while few requests are admitted.
    fn grow(&mut self, now: Timestamp) {
        let objectives = (now - self.last_growth).as_secs_f64() / self.shortest_objective;
        self.last_growth = now;
        let growth = objectives / RECOVERY_OBJECTIVES * self.admitted_fraction.max(0.5);
        self.admitted_fraction = (self.admitted_fraction + growth).min(1.0);
    }

    /// Returns the time until all requests are admitted again, provided that no request misses its
    /// objective.
    pub(super) fn time_to_full_admission(&mut self, now: Timestamp) -> Span {
        self.grow(now);
        Span::from_secs_f64(
            (1.0 - self.admitted_fraction) * RECOVERY_OBJECTIVES * self.shortest_objective,
        )
    }

    /// Records whether a first token met its objective. `miss_weight` is 0 for a first token in
    /// time; for a miss it is the degree to which the miss indicates overload, up to 1. The cut for
    /// a miss is proportional to the mean time between outcomes, so that misses during one
    /// objective's time cut the admitted fraction equally at any request rate.
    pub(super) fn record_outcome(&mut self, miss_weight: f64, now: Timestamp) {
        self.grow(now);
        let objectives = (now - self.last_outcome).as_secs_f64() / self.shortest_objective;
        self.last_outcome = now;
        running_mean::update(
            &mut self.outcome_spacing,
            objectives.min(1.0),
            OUTCOME_SAMPLE_WEIGHT,
        );
        self.miss_rate.record(miss_weight, objectives);
        if miss_weight > 0.0 {
            let miss_rate = self.miss_rate.rate();
            let overload = (miss_rate / OVERLOAD_MISS_RATE).min(1.0);
            let cut = miss_weight * 2.0 * self.outcome_spacing * overload;
            let min_fraction = (1.0 - miss_rate)
                .powi(MIN_IN_TIME_EXPONENT)
                .max(MIN_ADMITTED_FRACTION)
                .min(self.admitted_fraction);
            self.admitted_fraction = (self.admitted_fraction * (1.0 - cut)).max(min_fraction);
        }
    }
}

#[cfg(test)]
mod tests;
