//! Slow start: how much a replica is sent while it is warming up. The rule is a sum over all
//! routers, none of which sees the others (docs/design/large-fleets.md).

use rand::RngExt;

use super::balancer::Balancer;
use super::replica_table::ReplicaIndex;

/// The part of what a warming-up replica may be sent that is used. Value: half, the rest is for
/// chance and for routers' unequal traffic; 0.25, 0.75 and 1.0 did no better on the platform's
/// bench (docs/design/large-fleets.md).
const CAPACITY_MARGIN: f64 = 0.5;
/// Least time to warm up that is divided by, in seconds. Value: below any setting.
const MIN_WARM_UP_SECONDS: f64 = 1e-3;

impl Balancer {
    /// Whether a replica is warming up.
    pub(super) fn is_warming_up(&self, index: ReplicaIndex) -> bool {
        let started = self.replicas[index].entry.started_at;
        !started.is_zero() && self.now - started < self.settings.slow_start_duration
    }

    /// A replica's present capacity, as a part of its capacity once warm.
    pub(super) fn capacity_part(&self, index: ReplicaIndex) -> f64 {
        if !self.is_warming_up(index) {
            return 1.0;
        }
        let age = (self.now - self.replicas[index].entry.started_at).as_secs_f64()
            / self
                .settings
                .slow_start_duration
                .as_secs_f64()
                .max(MIN_WARM_UP_SECONDS);
        self.settings.slow_start_floor + (1.0 - self.settings.slow_start_floor) * age
    }

    /// The warming-up replica that an attempt may go to, drawn anew for each attempt: a replica is
    /// drawn by weight, and taken if it is warming up, with the probability that its capacity
    /// allows. So all routers together send it that part of what a warm one gets, however little
    /// each of them sees. Nothing is saved up, or many routers that each had a slot left might use
    /// it at once.
    pub(super) fn draw_slow_start_slot(&mut self) -> Option<ReplicaIndex> {
        if self.now >= self.all_warm_at {
            return None;
        }
        let index = self.ring.draw(self.rng.random())?;
        let probability =
            CAPACITY_MARGIN * self.settings.overload_factor * self.capacity_part(index);
        let is_taken = self.is_warming_up(index) && self.rng.random::<f64>() < probability;
        is_taken.then_some(index)
    }
}
