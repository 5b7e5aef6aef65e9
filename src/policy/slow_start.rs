//! Slow start: how much a replica is sent while it is warming up. The rule is a sum over all
//! routers, none of which sees the others (docs/design/large-fleets.md).

use rand::RngExt;

use super::balancer::Balancer;
use super::replica_table::ReplicaIndex;

/// The fraction of a warming-up replica's allowance that is used. Value: half, the rest is for
/// chance and for routers' unequal traffic; 0.25, 0.75 and 1.0 did no better on the platform's
/// bench (docs/design/large-fleets.md).
const CAPACITY_MARGIN: f64 = 0.5;
/// The least slow-start duration that is divided by, in seconds. Value: below any setting.
const MIN_SLOW_START_SECONDS: f64 = 1e-3;

impl Balancer {
    /// Whether a replica is warming up.
    pub(super) fn is_warming_up(&self, index: ReplicaIndex) -> bool {
        let started = self.replicas[index].entry.started_at;
        !started.is_zero() && self.now - started < self.settings.slow_start_duration
    }

    /// A replica's present capacity, as a fraction of its capacity once warm.
    pub(super) fn capacity_fraction(&self, index: ReplicaIndex) -> f64 {
        if !self.is_warming_up(index) {
            return 1.0;
        }
        let age_seconds = (self.now - self.replicas[index].entry.started_at).as_secs_f64();
        let duration_seconds = self.settings.slow_start_duration.as_secs_f64();
        let age = age_seconds / duration_seconds.max(MIN_SLOW_START_SECONDS);
        let floor = self.settings.slow_start_floor;
        floor + (1.0 - floor) * age
    }

    /// The warming-up replica that an attempt may go to, drawn anew for each attempt: a replica is
    /// drawn by weight, and taken if it is warming up, with the probability that its capacity
    /// allows. So all routers together send it that fraction of a warm replica's traffic, however
    /// little each of them sees. Unused slots are not kept, or many routers that each had one left
    /// might use it at once.
    pub(super) fn draw_slow_start_slot(&mut self) -> Option<ReplicaIndex> {
        if self.now >= self.all_warm_at {
            return None;
        }
        let index = self.ring.draw(self.rng.random())?;
        let probability =
            CAPACITY_MARGIN * self.settings.overload_factor * self.capacity_fraction(index);
        let is_taken = self.is_warming_up(index) && self.rng.random::<f64>() < probability;
        is_taken.then_some(index)
    }
}
