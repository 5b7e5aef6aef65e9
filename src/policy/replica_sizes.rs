//! The sizes of the replicas, from the weights in the endpoint list. Predictions are scaled by the
//! sizes, so a single wrong weight must not exclude its own or all other replicas.

use super::balancer::Balancer;

/// Size of a replica without a valid weight.
const DEFAULT_SIZE: f64 = 1.0;
/// Maximum ratio of a replica's size to the median size, in both directions. Machines of one fleet
/// differ less.
const MAX_SIZE_RATIO: f64 = 16.0;

impl Balancer {
    /// Sets the sizes of all listed replicas.
    pub(super) fn update_sizes(&mut self) {
        let listed = self.replicas.iter().filter(|replica| replica.listed);
        let sizes = listed.map(|replica| stated_size(replica.entry.weight));
        let Some(median) = median(sizes.collect()) else {
            return;
        };
        for replica in self.replicas.iter_mut() {
            let stated = stated_size(replica.entry.weight);
            replica.size = stated.clamp(median / MAX_SIZE_RATIO, median * MAX_SIZE_RATIO);
        }
    }
}

fn stated_size(weight: f64) -> f64 {
    if weight.is_finite() && weight > 0.0 {
        weight
    } else {
        DEFAULT_SIZE
    }
}

fn median(mut sizes: Vec<f64>) -> Option<f64> {
    let middle = sizes.len().checked_sub(1)? / 2;
    let (_, median, _) = sizes.select_nth_unstable_by(middle, f64::total_cmp);
    Some(*median)
}
