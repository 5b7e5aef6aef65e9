//! Exponentially weighted running means.

/// Moves a running mean towards a new sample by the fraction `weight`: about the last `1 / weight`
/// samples count.
pub fn update(mean: &mut f64, sample: f64, weight: f64) {
    *mean += (sample - *mean) * weight;
}
