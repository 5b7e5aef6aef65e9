//! Selects the replica for a queued request: it samples candidate replicas and takes the one with
//! the lowest cost.

use rand::RngExt;

use super::balancer::Balancer;
use super::cost::CostLimits;
use super::replica_table::ReplicaIndex;
use crate::interface::{Action, Arrival, RequestId};

/// Maximum number of replicas compared for one request. It bounds the work per request in a fleet
/// of any size.
const MAX_CANDIDATES: usize = 8;
/// Maximum number of random replica draws for one request: four per candidate, because the draw
/// weighted by size rejects some of the drawn replicas.
const MAX_DRAWS: usize = 32;
/// Maximum random increase of a cost, as a fraction of the cost. It is small enough to only break
/// ties.
const TIE_BREAK_FRACTION: f64 = 1e-3;

/// A replica that can produce a request's first token in time.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate {
    /// Its index.
    pub(super) replica: ReplicaIndex,
    /// The predicted first-token time with penalties, in seconds.
    pub(super) cost: f64,
    /// Whether a health check of it failed.
    is_suspected: bool,
}

impl Balancer {
    /// Returns the replica of the request's slow-start slot if it can take the request, otherwise
    /// the replica with the lowest cost if that replica is mature. The cost includes how much of
    /// the prompt the replica likely has cached and its load report. Ties are broken at random.
    pub(super) fn select_replica(
        &mut self,
        id: RequestId,
        actions: &mut Vec<Action>,
    ) -> Option<ReplicaIndex> {
        let request = self.requests.get(&id)?;
        let arrival = request.arrival;
        let limits = CostLimits {
            seconds: (request.due - self.now).as_secs_f64(),
            excludes_overdue: !self.overdue_is_widespread(),
        };
        let awaited_candidates = request.candidates.clone();
        if let Some(replica) = request.slow_start_slot
            && self.can_take_slow_start_slot(id, &arrival, replica, limits)
        {
            return Some(replica);
        }
        let sampled = if awaited_candidates.is_empty() {
            self.sample_candidates(&arrival)
        } else {
            awaited_candidates
        };
        let candidates = self.rank_candidates(id, &arrival, sampled, limits);
        if let Some(request) = self.requests.get_mut(&id) {
            request.has_candidate = !candidates.is_empty();
        }
        let best = if self.settings.health_checks {
            self.select_reported(id, &candidates, actions)
        } else {
            candidates.first().map(|candidate| candidate.replica)
        };
        // If the best replica is not mature yet, the request stays queued: waiting for a replica
        // that has the prompt cached may be faster than the prefill at another replica.
        best.filter(|&replica| self.is_mature(replica))
    }

    /// Returns whether a request can be sent to the warming-up replica for which it has a
    /// slow-start slot: sends are allowed, and the first token is predicted within the limit at the
    /// replica's current capacity.
    fn can_take_slow_start_slot(
        &self,
        id: RequestId,
        arrival: &Arrival,
        replica: ReplicaIndex,
        limits: CostLimits,
    ) -> bool {
        let limits_at_capacity = CostLimits {
            seconds: limits.seconds * self.capacity_fraction(replica),
            ..limits
        };
        self.is_mature(replica)
            && self.cost(arrival, replica, limits_at_capacity).is_some()
            && self.may_send(id, replica)
    }

    /// Returns the sampled replicas that can take a request within the limits, by ascending cost.
    /// Those of which a health check failed come last.
    fn rank_candidates(
        &mut self,
        id: RequestId,
        arrival: &Arrival,
        sampled: Vec<ReplicaIndex>,
        limits: CostLimits,
    ) -> Vec<Candidate> {
        let mut candidates = Vec::with_capacity(MAX_CANDIDATES);
        for replica in sampled {
            let Some(cost) = self.cost(arrival, replica, limits) else {
                continue;
            };
            if self.may_send(id, replica) {
                let cost = cost * (1.0 + TIE_BREAK_FRACTION * self.rng.random::<f64>());
                candidates.push(Candidate {
                    replica,
                    cost,
                    is_suspected: self.is_suspected(replica),
                });
            }
        }
        candidates.sort_by(|a, b| {
            let by_suspicion = a.is_suspected.cmp(&b.is_suspected);
            by_suspicion.then(a.cost.total_cmp(&b.cost))
        });
        candidates
    }

    /// Returns the replicas to compare for a request: those that may have its prompt cached, plus a
    /// random sample of the mature replicas, or all mature replicas if they are few.
    fn sample_candidates(&mut self, arrival: &Arrival) -> Vec<ReplicaIndex> {
        let mut sampled = Vec::with_capacity(MAX_CANDIDATES);
        let cached_at = self.likely_cached_at(arrival);
        for replica in cached_at.into_iter().flatten() {
            if self.is_eligible(replica, arrival) && !sampled.contains(&replica) {
                sampled.push(replica);
            }
        }
        if self.maturity.mature().len() + cached_at.len() <= MAX_CANDIDATES {
            for &replica in self.maturity.mature() {
                if self.is_eligible(replica, arrival) && !sampled.contains(&replica) {
                    sampled.push(replica);
                }
            }
            return sampled;
        }
        for _ in cached_at.len()..MAX_DRAWS {
            if sampled.len() == MAX_CANDIDATES {
                break;
            }
            let mature = self.maturity.mature();
            let replica = mature[self.rng.random_range(0..mature.len())];
            // The draw is weighted by size; otherwise small replicas would get as many requests as
            // large ones.
            let size = self.replicas[replica].size;
            let accepted = self.fleet_prefill_models.relative_to_largest(size) > self.rng.random();
            // A replica that does not serve the model is skipped, which uses up a draw.
            if accepted && self.is_eligible(replica, arrival) && !sampled.contains(&replica) {
                sampled.push(replica);
            }
        }
        sampled
    }

    /// Returns whether a replica is in service and serves the request's model.
    pub(super) fn is_eligible(&self, replica: ReplicaIndex, arrival: &Arrival) -> bool {
        let replica = &self.replicas[replica];
        replica.serves(arrival.model) && replica.is_in_service()
    }
}
