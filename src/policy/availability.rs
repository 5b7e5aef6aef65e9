//! How much of the fleet's capacity is in use, how many replicas could take a request at the time of
//! a decision, and with which probability this router may use their spare capacity while admission
//! control sheds.
//!
//! The measure of use is what was sent (`estimators::occupancy`), not the predicted time of a first
//! token: first tokens may take long for other reasons than load.

use super::balancer::Balancer;
use super::replica_table::ReplicaIndex;
use crate::interface::RequestId;

/// Maximum number of replicas examined. It bounds the work, and in a large fleet also the spare
/// capacity that is used: one of many routers knows little of what the others send.
pub(super) const MAX_EXAMINED_REPLICAS: usize = 32;
/// Number of requests that every replica is assumed to be able to run at the same time.
const ASSUMED_SLOTS: u32 = 6;
/// Number of requests that all routers together may send at the same time to a replica with a free slot.
const REQUESTS_PER_REPLICA: f64 = 4.0;

/// What is wrong at more than this fraction of the replicas has a common cause.
const WIDESPREAD_FRACTION: f64 = 0.5;
/// Minimum number of replicas that can be compared with each other: with two, either may be wrong.
const MIN_COMPARED_REPLICAS: u32 = 3;
/// Fraction of the replicas' time from which on the fleet counts as loaded. It is below 1 because
/// queues grow long before all time is used.
const LOADED_FRACTION: f64 = 0.5;

impl Balancer {
    /// Returns the fraction of the replicas' time that is in use, up to 1; 1 if no replica can be
    /// used. The other routers are assumed to use as much as this router.
    pub(super) fn fleet_utilization(&self) -> f64 {
        let routers = f64::from(self.settings.router_count.max(1));
        let busy = self.occupancy.busy_replicas(self.now, self.decay_seconds);
        let in_service = self.maturity.in_service() as f64;
        let usable = in_service * (1.0 - self.backoff_fraction());
        if usable > 0.0 {
            (busy * routers / usable).min(1.0)
        } else {
            1.0
        }
    }

    /// Returns the fraction of the examined replicas that get no requests because they are in a
    /// backoff after faults.
    fn backoff_fraction(&self) -> f64 {
        let total = self.replicas.len().min(MAX_EXAMINED_REPLICAS);
        let examined = self.replicas.indices().take(total);
        let in_backoff = examined.filter(|&index| self.is_in_backoff(index)).count();
        in_backoff as f64 / total.max(1) as f64
    }

    /// Returns whether first tokens are overdue at most of the replicas although they have unused
    /// time. Then the predictions are wrong rather than the replicas.
    pub(super) fn overdue_is_widespread(&self) -> bool {
        let mut in_service = 0;
        let mut overdue = 0;
        for index in self.replicas.indices().take(MAX_EXAMINED_REPLICAS) {
            let replica = &self.replicas[index];
            in_service += u32::from(replica.is_in_service());
            overdue +=
                u32::from(replica.is_in_service() && replica.has_overdue_first_token(self.now));
        }
        in_service >= MIN_COMPARED_REPLICAS
            && f64::from(overdue) > WIDESPREAD_FRACTION * f64::from(in_service)
            && self.has_unused_capacity()
    }

    /// Returns the degree to which misses can be caused by load, from 0 to 1.
    pub(super) fn load_evidence(&self) -> f64 {
        (self.fleet_utilization() / LOADED_FRACTION).min(1.0)
    }

    /// Returns whether the replicas have unused time, so that misses have another cause than load.
    pub(super) fn has_unused_capacity(&self) -> bool {
        self.fleet_utilization() < LOADED_FRACTION
    }

    /// Returns how many replicas could take a request now without delaying it behind others, as far
    /// as this router knows.
    pub(super) fn available_replicas(&self, id: RequestId) -> u32 {
        let examined = self.maturity.mature().iter().take(MAX_EXAMINED_REPLICAS);
        examined
            .filter(|&&replica| self.is_available(id, replica))
            .count() as u32
    }

    /// Returns the probability, from 0 to 1, with which this router may send a request to a replica
    /// with a free slot although admission control would reject it. All routers may see the same
    /// free slots, so the requests that fit there are divided by the number of routers.
    pub(super) fn spare_capacity_share(&self, id: RequestId) -> f64 {
        let examined = self.maturity.mature().iter().take(MAX_EXAMINED_REPLICAS);
        let available = examined.filter(|&&replica| self.is_available(id, replica));
        let free_replicas: f64 = available
            .map(|&replica| self.free_slot_probability(replica))
            .sum();
        let routers = f64::from(self.settings.router_count.max(1));
        (free_replicas * REQUESTS_PER_REPLICA / routers).min(1.0)
    }

    /// Returns the probability that a replica has a free slot. The other routers are assumed to
    /// have the same mean number of attempts in flight at each replica as this router.
    fn free_slot_probability(&self, replica: ReplicaIndex) -> f64 {
        let other_routers = f64::from(self.settings.router_count.max(1) - 1);
        let in_service = self.maturity.in_service().max(1) as f64;
        let used_by_others = other_routers * f64::from(self.attempts_in_flight) / in_service;
        let free_here = ASSUMED_SLOTS.saturating_sub(self.replicas[replica].in_flight);
        poisson_below(free_here, used_by_others)
    }

    /// Returns whether a request may be sent to a mature replica now, and the replica would produce
    /// the first token of a typical request within the latency objective, or while the client still
    /// waits. The request's own prompt doesn't count: a replica without a queue has room for a
    /// prompt whose prefill takes longer, too.
    fn is_available(&self, id: RequestId, replica: ReplicaIndex) -> bool {
        let Some(request) = self.requests.get(&id) else {
            return false;
        };
        let arrival = &request.arrival;
        let state = &self.replicas[replica];
        let objective = self.settings.classes[arrival.class as usize].first_token_objective;
        let limit = objective.max(arrival.expires_at - self.now);
        let queued_tokens = self.typical_tokens + state.awaited_tokens;
        let seconds = self.prefill_model(replica).seconds(queued_tokens);
        self.is_eligible(replica, arrival)
            && seconds <= limit.as_secs_f64()
            && state.dispatched_tokens == 0.0
            && !state.has_overdue_first_token(self.now)
            && self.may_send(id, replica)
    }
}

/// Returns the probability that a Poisson distributed number with this mean is less than `limit`.
fn poisson_below(limit: u32, mean: f64) -> f64 {
    let mut probability = (-mean).exp();
    let mut sum = 0.0;
    for number in 0..limit {
        sum += probability;
        probability *= mean / f64::from(number + 1);
    }
    sum
}

#[cfg(test)]
mod tests;
