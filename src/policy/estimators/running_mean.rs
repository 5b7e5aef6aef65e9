//! Exponentially weighted running means.

/// Moves a running mean towards a new sample by the fraction `weight`. The mean then covers about
/// the last `1 / weight` samples.
pub fn update(mean: &mut f64, sample: f64, weight: f64) {
    *mean += (sample - *mean) * weight;
}
