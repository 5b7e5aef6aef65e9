//! Admission control: which requests are admitted where more arrive than can be served in time.
//!
//! Under overload some requests have to be rejected, and early. A fraction of the arrivals is
//! admitted, each by a draw that favours those of a high value for their cost (`sampling`); the
//! fraction falls with first tokens that miss their objective and grows back with time.

mod sampling;

use rustc_hash::FxHashMap;
use sampling::AdmissionSampler;

use super::estimators::running_mean;
use crate::interface::{Settings, Span, Timestamp};

/// The miss rate of first tokens that counts as full overload; a lower one cuts the admitted
/// fraction proportionally less. Value: a design choice, so that single misses of one faulty
/// replica don't reject a third of the arrivals.
const OVERLOAD_MISS_RATE: f64 = 0.5;
/// Weight of a new outcome in the running means: about the last 32 count. Value: a design choice,
/// not measured alone.
const OUTCOME_SAMPLE_WEIGHT: f64 = 1.0 / 32.0;
/// The admitted fraction doesn't fall below this power of the fraction of requests that are in time:
/// misses that shedding doesn't end come from faults.
const MIN_IN_TIME_EXPONENT: i32 = 4;
/// The time in which the admitted fraction grows back, in objectives. Value: admitted streams show
/// their token interval only at their end, several objectives later.
const RECOVERY_OBJECTIVES: f64 = 16.0;
/// The least fraction admitted. Value: a design choice; some requests have to be admitted to show a
/// recovery.
const MIN_ADMITTED_FRACTION: f64 = 1.0 / 64.0;
/// The time between outcomes, in objectives, before the first ones. Value: a design choice, soon
/// replaced.
const INITIAL_SPACING: f64 = 0.1;
/// An expensive migration is admitted as if at most this fraction of all arrivals were: it delays
/// others also where all are admitted.
const MAX_MIGRATION_FRACTION: f64 = 0.9;
/// Shortest and longest objective used, in seconds. Value: beyond what settings sensibly have.
const MIN_OBJECTIVE_SECONDS: f64 = 1e-3;
const MAX_OBJECTIVE_SECONDS: f64 = 1e3;

/// A tenant's token bucket, in requests.
#[derive(Clone, Copy, Debug)]
struct QuotaCredit {
    requests: f64,
    as_of: Timestamp,
}

/// Admission control, for all requests and for each model.
#[derive(Debug, Default)]
pub(super) struct AdmissionControl {
    /// The fraction of arrivals that is admitted, from 0 to 1.
    admitted_fraction: f64,
    /// The shortest latency objective of a class, in seconds.
    shortest_objective: f64,
    /// The running mean of the time between outcomes, in objectives.
    outcome_spacing: f64,
    /// The running mean of first tokens that missed their objective, from 0 to 1.
    miss_rate: f64,
    last_outcome: Timestamp,
    last_growth: Timestamp,
    sampler: AdmissionSampler,
    quota_credits: Vec<QuotaCredit>,
    by_model: FxHashMap<u32, AdmissionControl>,
}

impl AdmissionControl {
    /// Everything is admitted at first.
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
            outcome_spacing: INITIAL_SPACING,
            last_outcome: now,
            last_growth: now,
            quota_credits: vec![empty; settings.quotas.len()],
            ..AdmissionControl::default()
        }
    }

    /// The shortest latency objective of a class, in seconds.
    pub(super) fn shortest_objective(&self) -> f64 {
        self.shortest_objective
    }

    /// The control of one model's requests, so that a model whose servers fail doesn't shed what
    /// others serve. Tenants' quotas are those of all models.
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

    /// The weight of a tenant's next request: 1 within its quota at this router, and
    /// [`Settings::over_quota_weight`] beyond.
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

    /// The lowest fraction admitted of any model, as of its last arrival or outcome.
    pub(super) fn lowest_admitted_fraction(&self) -> f64 {
        self.by_model
            .values()
            .map(|control| control.admitted_fraction)
            .fold(self.admitted_fraction, f64::min)
    }

    /// The fraction of arrivals that is admitted now.
    pub(super) fn admitted_fraction(&mut self, now: Timestamp) -> f64 {
        self.grow(now);
        self.admitted_fraction
    }

    /// Whether an arrival of this value for its cost is admitted, by a uniform draw from 0 to 1.
    pub(super) fn admits(&mut self, value: f64, uniform: f64, now: Timestamp) -> bool {
        self.grow(now);
        uniform <= self.sampler.sample_arrival(value, self.admitted_fraction)
    }

    /// Whether a request that was admitted by this draw still is at another value for its cost.
    pub(super) fn still_admits(&self, value: f64, uniform: f64) -> bool {
        let fraction = self.admitted_fraction.min(MAX_MIGRATION_FRACTION);
        uniform <= self.sampler.probability(value, fraction)
    }

    /// Grows the admitted fraction with time, and not with outcomes, of which there are few while
    /// few requests are admitted.
    fn grow(&mut self, now: Timestamp) {
        let objectives = (now - self.last_growth).as_secs_f64() / self.shortest_objective;
        self.last_growth = now;
        let growth = objectives / RECOVERY_OBJECTIVES * self.admitted_fraction.max(0.5);
        self.admitted_fraction = (self.admitted_fraction + growth).min(1.0);
    }

    /// The time until all requests are admitted again, if none misses its objective.
    pub(super) fn time_to_full_admission(&mut self, now: Timestamp) -> Span {
        self.grow(now);
        Span::from_secs_f64(
            (1.0 - self.admitted_fraction) * RECOVERY_OBJECTIVES * self.shortest_objective,
        )
    }

    /// Records a first token that came in time, for 0, or missed its objective. `missed` is how far
    /// a miss tells of overload, up to 1. A miss is weighted by the time between outcomes, so that
    /// misses over one objective's time cut the admitted fraction equally at any request rate.
    pub(super) fn record_outcome(&mut self, missed: f64, now: Timestamp) {
        self.grow(now);
        let objectives = (now - self.last_outcome).as_secs_f64() / self.shortest_objective;
        self.last_outcome = now;
        running_mean::update(
            &mut self.outcome_spacing,
            objectives.min(1.0),
            OUTCOME_SAMPLE_WEIGHT,
        );
        running_mean::update(&mut self.miss_rate, missed, OUTCOME_SAMPLE_WEIGHT);
        if missed > 0.0 {
            let overload = (self.miss_rate / OVERLOAD_MISS_RATE).min(1.0);
            let cut = missed * 2.0 * self.outcome_spacing * overload;
            let least = (1.0 - self.miss_rate)
                .powi(MIN_IN_TIME_EXPONENT)
                .max(MIN_ADMITTED_FRACTION)
                .min(self.admitted_fraction);
            self.admitted_fraction = (self.admitted_fraction * (1.0 - cut)).max(least);
        }
    }
}

#[cfg(test)]
mod tests;
