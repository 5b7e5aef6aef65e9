//! When each replica takes requests again. A replica is mature while it does. After a send it
//! matures once its new requests are prefilled and the decode steps that this delayed are caught
//! up; after a fault, once a backoff has passed.

use super::balancer::Balancer;
use super::replica_table::ReplicaIndex;
use crate::interface::{Span, Timestamp};

/// Consecutive faults that still double the backoff. Value: a repaired replica is used again after
/// 16 times the first token of a typical request, a few seconds.
const MAX_DOUBLINGS: u32 = 4;

impl Balancer {
    /// Whether a replica takes requests now.
    pub(super) fn is_mature(&self, index: ReplicaIndex) -> bool {
        self.replicas[index].mature_position.is_some()
    }

    /// Sets when a replica is mature.
    pub(super) fn set_maturity(&mut self, index: ReplicaIndex, at: Timestamp) {
        self.maturity.remove(&mut self.replicas, index);
        self.replicas[index].maturity = at;
        self.maturity.insert(&mut self.replicas, index, self.now);
    }

    /// Starts a replica's backoff after a fault: it doubles with each consecutive one, from the
    /// first-token time of a typical request. The duration of the failed attempt doesn't count, or
    /// one late answer of a busy replica would migrate all sessions cached there, to be prefilled
    /// anew elsewhere.
    pub(super) fn record_fault(&mut self, index: ReplicaIndex) {
        let least = self
            .throughput
            .fleet_model(self.now)
            .seconds(self.typical_tokens);
        let replica = &mut self.replicas[index];
        replica.consecutive_failures = (replica.consecutive_failures + 1).min(MAX_DOUBLINGS);
        let backoff = least * f64::from(1 << replica.consecutive_failures);
        let at = (self.now + Span::from_secs_f64(backoff)).max(replica.maturity);
        self.set_maturity(index, at);
    }
}
