//! Maturity: when each replica takes requests again. A replica is mature while it takes requests.
//! After a send, it matures once its new requests are prefilled and its streams have caught up on
//! the decode steps that the prefill delayed. After a fault, it matures once a backoff has passed.

use super::balancer::Balancer;
use super::replica_table::ReplicaIndex;
use crate::interface::{Span, Timestamp};

/// Maximum number of consecutive faults that double the backoff. A repaired replica is used again
/// after at most 16 times the first-token time of a typical request, a few seconds.
const MAX_DOUBLINGS: u32 = 4;
/// Maximum fraction of the replicas in service that may be in a long backoff at the same time. If
/// more fail, they are more likely overloaded than faulty.
const MAX_EJECTED_FRACTION: f64 = 0.5;

impl Balancer {
    /// Whether a replica takes requests now.
    pub(super) fn is_mature(&self, index: ReplicaIndex) -> bool {
        self.replicas[index].mature_position.is_some()
    }

    /// Sets the time at which a replica is mature.
    pub(super) fn set_maturity(&mut self, index: ReplicaIndex, at: Timestamp) {
        self.maturity.remove(&mut self.replicas, index);
        self.replicas[index].maturity = at;
        self.maturity.insert(&mut self.replicas, index, self.now);
    }

    /// Starts a replica's backoff after a fault. The backoff is based on the first-token time of a
    /// typical request and doubles with each consecutive fault. The duration of the failed attempt
    /// is not used: one late answer of a busy replica would then migrate all sessions cached there,
    /// which would have to be prefilled again on other replicas.
    pub(super) fn record_fault(&mut self, index: ReplicaIndex) {
        let base_backoff = self.base_backoff_seconds();
        let replica = &mut self.replicas[index];
        replica.consecutive_failures = (replica.consecutive_failures + 1).min(MAX_DOUBLINGS);
        let backoff = base_backoff * f64::from(1 << replica.consecutive_failures);
        let at = (self.now + Span::from_secs_f64(backoff)).max(replica.maturity);
        self.set_maturity(index, at);
        self.shorten_backoffs(Span::from_secs_f64(base_backoff));
    }

    /// Records that a health check failed although a connection could be made. Other replicas are
    /// preferred for a time that doubles with each consecutive failure. The replica is not excluded:
    /// it may answer requests although its health checks fail.
    pub(super) fn record_failed_check(&mut self, index: ReplicaIndex) {
        let base_backoff = self.base_backoff_seconds();
        let replica = &mut self.replicas[index];
        replica.consecutive_failed_checks =
            (replica.consecutive_failed_checks + 1).min(MAX_DOUBLINGS);
        let backoff = base_backoff * f64::from(1 << replica.consecutive_failed_checks);
        replica.suspected_until = self.now + Span::from_secs_f64(backoff);
    }

    /// Whether other replicas are preferred because a health check of this one failed.
    pub(super) fn is_suspected(&self, index: ReplicaIndex) -> bool {
        self.replicas[index].suspected_until > self.now
    }

    /// The first-token time of a typical request, in seconds.
    fn base_backoff_seconds(&self) -> f64 {
        let fleet_model = self.fleet_prefill_models.fleet_model(self.now);
        fleet_model.seconds(self.typical_tokens)
    }

    /// The backoff after the most consecutive faults that double it.
    pub(super) fn longest_backoff(&self) -> Span {
        Span::from_secs_f64(self.base_backoff_seconds() * f64::from(1 << MAX_DOUBLINGS))
    }

    /// Limits the backoff of each failing replica to `longest` if more than
    /// [`MAX_EJECTED_FRACTION`] of the replicas in service are in a backoff. The others would
    /// otherwise get all requests, fail under the load and start a backoff too.
    fn shorten_backoffs(&mut self, longest: Span) {
        let ejected: Vec<ReplicaIndex> = self
            .replicas
            .indices()
            .filter(|&index| self.is_in_backoff(index))
            .collect();
        let limit = MAX_EJECTED_FRACTION * self.maturity.in_service() as f64;
        if ejected.len() as f64 <= limit {
            return;
        }
        let latest = self.now + longest;
        for index in ejected {
            if self.replicas[index].maturity > latest {
                self.set_maturity(index, latest);
            }
        }
    }

    /// Whether a replica in service takes no requests because of faults.
    pub(super) fn is_in_backoff(&self, index: ReplicaIndex) -> bool {
        let replica = &self.replicas[index];
        replica.is_in_service() && replica.consecutive_failures > 0 && replica.maturity > self.now
    }
}
