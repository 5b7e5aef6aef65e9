//! The probability with which an arrival is admitted, by its value for its cost.
//!
//! The odds of an arrival grow with its value, and while few are rejected none is rejected always:
//! a threshold would reject the same requests each time. A correction follows from what was
//! admitted, so that the fraction holds however the values are spread and however they drift.

use super::running_mean;

/// The power of a value by which the odds grow: twice the value, 256 times the odds.
const ODDS_EXPONENT: f64 = 8.0;
/// No request is rejected with more than this multiple of the mean probability.
const MAX_RELATIVE_REJECTION: f64 = 16.0;
/// The weight of a new arrival in the running mean of values: about the last 64 count.
const VALUE_SAMPLE_WEIGHT: f64 = 1.0 / 64.0;
/// By how much the correction moves for an arrival that was admitted with certainty and ought not
/// to be at all.
const CORRECTION_GAIN: f64 = 1.0 / 4.0;
/// The largest correction of the odds' logarithm, in both directions.
const MAX_CORRECTION: f64 = 32.0;
/// The least and the largest value that are told apart.
const MIN_VALUE: f64 = 1e-12;
const MAX_VALUE: f64 = 1e12;

/// Turns the admitted fraction into the probability of each arrival.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct AdmissionSampler {
    /// The running mean of the logarithms of arrivals' values; none before the first arrival.
    mean_log_value: Option<f64>,
    /// Added to the logarithm of the odds.
    correction: f64,
}

impl AdmissionSampler {
    /// The probability of an arrival of this value; it counts toward the mean that later ones are
    /// compared with.
    pub(super) fn sample_arrival(&mut self, value: f64, fraction: f64) -> f64 {
        let log_value = log_value(value);
        let mean = self.mean_log_value.get_or_insert(log_value);
        running_mean::update(mean, log_value, VALUE_SAMPLE_WEIGHT);
        let probability = self.probability(value, fraction);
        self.correction = (self.correction + CORRECTION_GAIN * (fraction - probability))
            .clamp(-MAX_CORRECTION, MAX_CORRECTION);
        probability
    }

    /// The probability at this value.
    pub(super) fn probability(&self, value: f64, fraction: f64) -> f64 {
        if fraction >= 1.0 {
            return 1.0;
        }
        let odds = (fraction / (1.0 - fraction)).ln();
        let log_value = log_value(value);
        let relative_log_value = log_value - self.mean_log_value.unwrap_or(log_value);
        let log_odds = odds + ODDS_EXPONENT * relative_log_value + self.correction;
        let least = (1.0 - MAX_RELATIVE_REJECTION * (1.0 - fraction)).max(0.0);
        least + (1.0 - least) / (1.0 + (-log_odds).exp())
    }
}

fn log_value(value: f64) -> f64 {
    value.clamp(MIN_VALUE, MAX_VALUE).ln()
}
