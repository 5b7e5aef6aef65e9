//! The probability with which an arrival is admitted, given its ratio of value to cost. The code
//! calls this ratio the value.
//!
//! The odds of an arrival grow with its value. While few arrivals are rejected, none is rejected
//! with certainty, whereas a threshold would reject the same requests every time. A correction
//! computed from earlier probabilities keeps the admitted fraction at its target for any
//! distribution of the values, also while the distribution changes.

use super::running_mean;

/// Exponent of the value in the odds: doubling the value multiplies the odds by 256.
const ODDS_EXPONENT: f64 = 8.0;
/// Maximum probability of rejection, as a multiple of the mean probability of rejection.
const MAX_RELATIVE_REJECTION: f64 = 16.0;
/// Weight of a new arrival in the running mean of values, which covers about the last 64 arrivals.
const VALUE_SAMPLE_WEIGHT: f64 = 1.0 / 64.0;
/// Change of the correction per unit of difference between the target fraction and an arrival's
/// probability.
const CORRECTION_GAIN: f64 = 1.0 / 4.0;
/// Maximum absolute value of the correction, which is added to the logarithm of the odds.
const MAX_CORRECTION: f64 = 32.0;
/// Range to which values are clamped.
const MIN_VALUE: f64 = 1e-12;
const MAX_VALUE: f64 = 1e12;

/// Computes each arrival's probability of admission from the admitted fraction.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct AdmissionSampler {
    /// The running mean of the logarithms of arrivals' values; `None` before the first arrival.
    mean_log_value: Option<f64>,
    /// The correction that is added to the logarithm of the odds.
    correction: f64,
}

impl AdmissionSampler {
    /// Returns the probability of admission for an arrival of this value, and updates the mean
    /// value and the correction for later arrivals.
    pub(super) fn sample_arrival(&mut self, value: f64, fraction: f64) -> f64 {
        let log_value = log_value(value);
        let mean = self.mean_log_value.get_or_insert(log_value);
        running_mean::update(mean, log_value, VALUE_SAMPLE_WEIGHT);
        let probability = self.probability(value, fraction);
        self.correction = (self.correction + CORRECTION_GAIN * (fraction - probability))
            .clamp(-MAX_CORRECTION, MAX_CORRECTION);
        probability
    }

    /// Returns the probability of admission for this value.
    pub(super) fn probability(&self, value: f64, fraction: f64) -> f64 {
        if fraction >= 1.0 {
            return 1.0;
        }
        let odds = (fraction / (1.0 - fraction)).ln();
        let log_value = log_value(value);
        let relative_log_value = log_value - self.mean_log_value.unwrap_or(log_value);
        let log_odds = odds + ODDS_EXPONENT * relative_log_value + self.correction;
        let min_probability = (1.0 - MAX_RELATIVE_REJECTION * (1.0 - fraction)).max(0.0);
        min_probability + (1.0 - min_probability) / (1.0 + (-log_odds).exp())
    }
}

fn log_value(value: f64) -> f64 {
    value.clamp(MIN_VALUE, MAX_VALUE).ln()
}
