//! First-token time as a linear function of prompt tokens, fitted by least squares over samples
//! whose weights decay. A fit covers one series of samples; `fleet_prefill_models` pools the
//! samples of several replicas.

use crate::interface::Settings;

/// The decode step that is assumed at the start if no token interval objective is shorter, as a
/// fraction of the shortest first-token objective. A step must be much shorter than the objective.
const INITIAL_STEP_FRACTION: f64 = 1.0 / 8.0;
/// Number of samples that a prior model counts as, in addition to the recorded samples. It is small
/// so that a replica's own samples prevail after a few of them.
pub const PRIOR_SAMPLES: f64 = 4.0;

/// A least-squares fit, stored as decaying sums over samples of tokens and seconds.
#[derive(Clone, Copy, Debug, Default)]
pub struct LinearFit {
    /// Sum of the samples' weights. The other sums are weighted by them.
    weight: f64,
    tokens: f64,
    seconds: f64,
    tokens_squared: f64,
    tokens_times_seconds: f64,
}

/// Seconds as a linear function of tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinearModel {
    /// Seconds per token.
    pub seconds_per_token: f64,
    /// Seconds for a prompt of 0 tokens.
    pub base_seconds: f64,
}

impl LinearModel {
    /// The model before any measurement. Classes extend their first-token objectives by the
    /// expected prefill time, so the largest extension per token is a first estimate of its cost.
    /// The base time is that of a decode step. `shortest_objective` is the shortest first-token
    /// objective; both times are in seconds.
    pub fn before_measurement(
        settings: &Settings,
        shortest_token_interval: f64,
        shortest_objective: f64,
    ) -> LinearModel {
        let objective_per_1000 = settings
            .classes
            .iter()
            .map(|class| {
                class
                    .first_token_objective_per_1000_prompt_tokens
                    .as_secs_f64()
            })
            .fold(0.0, f64::max);
        let longest_step = shortest_objective * INITIAL_STEP_FRACTION;
        let base_seconds = shortest_token_interval.min(longest_step);
        LinearModel {
            seconds_per_token: objective_per_1000.max(base_seconds / 8.0) / 1000.0,
            base_seconds,
        }
    }

    /// The predicted seconds for a number of tokens.
    pub fn seconds(self, tokens: f64) -> f64 {
        self.seconds_per_token * tokens + self.base_seconds
    }

    /// This model with both times multiplied by `factor`.
    pub fn scaled(self, factor: f64) -> LinearModel {
        LinearModel {
            seconds_per_token: self.seconds_per_token * factor,
            base_seconds: self.base_seconds * factor,
        }
    }

    /// This model after decaying towards `other`: at `age` 1, its remaining weight is 1/e.
    pub fn decayed_towards(self, other: LinearModel, age: f64) -> LinearModel {
        let remaining = (-age).exp();
        let blend = |from: f64, to: f64| to + (from - to) * remaining;
        LinearModel {
            seconds_per_token: blend(self.seconds_per_token, other.seconds_per_token),
            base_seconds: blend(self.base_seconds, other.base_seconds),
        }
    }
}

impl LinearFit {
    /// Records a first-token time. Earlier samples lose the fraction `new_sample_weight` of their
    /// weight.
    pub fn record(&mut self, tokens: f64, seconds: f64, new_sample_weight: f64) {
        self.accumulate(1.0 - new_sample_weight, 1.0, tokens, seconds);
    }

    /// Reduces the sums to the fraction `remaining`, then adds a sample with the given weight.
    fn accumulate(&mut self, remaining: f64, weight: f64, tokens: f64, seconds: f64) {
        let add = |sum: &mut f64, value: f64| *sum = *sum * remaining + weight * value;
        add(&mut self.weight, 1.0);
        add(&mut self.tokens, tokens);
        add(&mut self.seconds, seconds);
        add(&mut self.tokens_squared, tokens * tokens);
        add(&mut self.tokens_times_seconds, tokens * seconds);
    }

    /// The model fitted to the samples and to `prior`, which counts as `PRIOR_SAMPLES` samples
    /// around `typical_tokens`.
    pub fn model(&self, prior: LinearModel, typical_tokens: f64) -> LinearModel {
        let mut with_prior = *self;
        let typical_tokens = typical_tokens.max(1.0);
        with_prior.accumulate(1.0, PRIOR_SAMPLES / 2.0, 0.0, prior.seconds(0.0));
        with_prior.accumulate(
            1.0,
            PRIOR_SAMPLES / 2.0,
            2.0 * typical_tokens,
            prior.seconds(2.0 * typical_tokens),
        );
        let LinearFit {
            weight: n,
            tokens: x,
            seconds: y,
            tokens_squared: xx,
            tokens_times_seconds: xy,
        } = with_prior;
        let slope = ((n * xy - x * y) / (n * xx - x * x)).max(0.0);
        let intercept = (y - slope * x) / n;
        if intercept >= 0.0 {
            LinearModel {
                seconds_per_token: slope,
                base_seconds: intercept,
            }
        } else {
            LinearModel {
                seconds_per_token: xy / xx,
                base_seconds: 0.0,
            }
        }
    }
}
