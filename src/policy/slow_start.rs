//! Slow start: limits how much a replica is sent while it is warming up. The limit applies to the
//! sum over all routers, none of which sees what the other routers send
//! (docs/design/large-fleets.md).

use rand::RngExt;

use super::balancer::Balancer;
use super::replica_table::ReplicaIndex;

/// The fraction of a warming-up replica's limit that is used. The other half is a margin for random
/// variation and for unequal traffic of the routers (docs/design/large-fleets.md).
const CAPACITY_MARGIN: f64 = 0.5;
/// Lower bound of the slow-start duration as a divisor, in seconds; below any configured duration.
const MIN_SLOW_START_SECONDS: f64 = 1e-3;

impl Balancer {
    /// Whether a replica is warming up.
    pub(super) fn is_warming_up(&self, index: ReplicaIndex) -> bool {
        let started = self.replicas[index].entry.started_at;
        !started.is_zero() && self.now - started < self.settings.slow_start_duration
    }

    /// A replica's current capacity, as a fraction of its capacity after slow start.
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

    /// Draws a warming-up replica that an attempt may be sent to, anew for each attempt.
    ///
    /// A replica is drawn by weight. If it is warming up, it is taken with a probability in
    /// proportion to its current capacity. All routers together thus send it this probability times
    /// the traffic of a warm replica, however little traffic each router has. Unused slots are not
    /// kept; otherwise many routers with one slot left could use them at the same time.
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
