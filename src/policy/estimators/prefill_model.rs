//! First-token time as a linear function of prompt tokens, by least squares over samples whose
//! weights decay. It knows no replica and no fleet: `throughput` pools these.

/// Samples that a prior model counts for beside those recorded. Value: a design choice, so that a
/// replica's own samples prevail after a few.
pub const PRIOR_SAMPLES: f64 = 4.0;

/// A least-squares fit: decaying sums over samples of tokens and seconds.
#[derive(Clone, Copy, Debug, Default)]
pub struct LinearFit {
    /// The samples' weights.
    weight: f64,
    tokens: f64,
    seconds: f64,
    tokens_squared: f64,
    tokens_times_seconds: f64,
}

/// Seconds as a linear function of tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinearModel {
    /// Seconds for each token.
    pub seconds_per_token: f64,
    /// Seconds at no token.
    pub base_seconds: f64,
}

impl LinearModel {
    /// The predicted seconds for this number of tokens.
    pub fn seconds(self, tokens: f64) -> f64 {
        self.seconds_per_token * tokens + self.base_seconds
    }

    /// The model of what takes `factor` times as long.
    pub fn scaled(self, factor: f64) -> LinearModel {
        LinearModel {
            seconds_per_token: self.seconds_per_token * factor,
            base_seconds: self.base_seconds * factor,
        }
    }

    /// This model as it decays into `other`: at `age` 1 it weighs 1/e.
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
    /// Records a first-token time; earlier samples lose the fraction `new_sample_weight` of
    /// their weight.
    pub fn record(&mut self, tokens: f64, seconds: f64, new_sample_weight: f64) {
        self.accumulate(1.0 - new_sample_weight, 1.0, tokens, seconds);
    }

    /// Adds a sample of this weight, after the sums have decayed to the fraction `remaining`.
    fn accumulate(&mut self, remaining: f64, weight: f64, tokens: f64, seconds: f64) {
        let add = |sum: &mut f64, value: f64| *sum = *sum * remaining + weight * value;
        add(&mut self.weight, 1.0);
        add(&mut self.tokens, tokens);
        add(&mut self.seconds, seconds);
        add(&mut self.tokens_squared, tokens * tokens);
        add(&mut self.tokens_times_seconds, tokens * seconds);
    }

    /// The model through the samples and through `prior`, which counts as `PRIOR_SAMPLES` around
    /// `typical_tokens`.
    pub fn model(&self, prior: LinearModel, typical_tokens: f64) -> LinearModel {
        let mut all = *self;
        let typical_tokens = typical_tokens.max(1.0);
        all.accumulate(1.0, PRIOR_SAMPLES / 2.0, 0.0, prior.seconds(0.0));
        all.accumulate(
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
        } = all;
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
