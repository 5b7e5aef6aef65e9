//! Selects the replica for a queued request: candidates are sampled, and the one of least cost is
//! taken, which is its predicted first-token time with penalties.

use rand::RngExt;

use super::balancer::Balancer;
use super::replica_table::ReplicaIndex;
use crate::interface::{Action, Arrival, RequestId};

/// Replicas compared for one request. Value: a design choice that bounds the work of a request in a
/// fleet of any size.
const MAX_CANDIDATES: usize = 8;
/// Draws of replicas for one request. Value: a design choice; four for each candidate, as draws by
/// size are rejected in part.
const MAX_DRAWS: usize = 32;
/// Penalty for a failed attempt, as a fraction of the latency objective. Value: a design choice;
/// the request is retried elsewhere, later.
const FAILURE_PENALTY: f64 = 0.3;
/// Weight of the penalty for crossing zones. Value: 2 and 1 did no better on the platform's bench
/// (docs/design/large-fleets.md); it is paid on every send, while time within the objective costs
/// nothing.
const ZONE_CROSSING_WEIGHT: f64 = 4.0;
/// Weight of a request's prefill beyond its own time: all that wait or stream at the replica wait
/// for it. Counts by what sessions find cached, as where nothing is cached all replicas prefill
/// alike. Value: a design choice (docs/design/placement.md).
const PREFILL_WEIGHT: f64 = 4.0;
/// A request has time to spare where its first token takes less than this fraction of the time that
/// it has left. Value: a design choice (docs/design/large-fleets.md).
const SPARE_TIME_FRACTION: f64 = 1.0 / 8.0;
/// Before they are compared, predicted times are multiplied by this power of the replica's size
/// relative to the mean, where the request has time to spare: above 1 the small replicas are taken
/// first. Value: a design choice (docs/design/large-fleets.md).
const SPARE_SIZE_EXPONENT: f64 = 2.0;
/// The same where the request has no time to spare: below 1 the large replicas are taken first.
/// Value: as above.
const URGENT_SIZE_EXPONENT: f64 = 0.5;
/// The same where no load reports correct what the preferences of all routers add up to: size
/// counts in the draw alone. Value: follows from the draw by size.
const NEUTRAL_SIZE_EXPONENT: f64 = 1.0;
/// The most by which a random draw changes a cost, as a fraction of it. Value: breaks ties only.
const TIE_BREAK_FRACTION: f64 = 1e-3;

/// A replica that could take a request in time.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate {
    /// Its index.
    pub(super) replica: ReplicaIndex,
    /// The predicted first-token time with penalties, in seconds.
    pub(super) cost: f64,
}

impl Balancer {
    /// The mature replica for a request: the one of least cost, which counts what a replica likely
    /// has cached of the prompt and what its load report showed; ties are broken at random.
    pub(super) fn select_replica(
        &mut self,
        id: RequestId,
        actions: &mut Vec<Action>,
    ) -> Option<ReplicaIndex> {
        let request = self.requests.get(&id)?;
        let arrival = request.arrival;
        let remaining = (request.due - self.now).as_secs_f64();
        let awaited = request.candidates.clone();
        if let Some(replica) = request.slow_start_slot
            && self.can_take_slow_start_slot(id, &arrival, replica, remaining)
        {
            return Some(replica);
        }
        let sampled = if awaited.is_empty() {
            self.sample_candidates(&arrival)
        } else {
            awaited
        };
        let candidates = self.rank_candidates(id, &arrival, sampled, remaining);
        let best = if self.settings.health_checks {
            self.select_reported(id, &candidates, actions)
        } else {
            candidates.first().map(|candidate| candidate.replica)
        };
        // a prompt may be cached where maturity comes a little later, sooner than it is prefilled
        // elsewhere
        best.filter(|&replica| self.is_mature(replica))
    }

    /// Whether a request can be sent to the warming-up replica for which it has a slow-start slot:
    /// its first token comes within `remaining` seconds at the replica's present capacity.
    fn can_take_slow_start_slot(
        &self,
        id: RequestId,
        arrival: &Arrival,
        replica: ReplicaIndex,
        remaining: f64,
    ) -> bool {
        let remaining_at_capacity = remaining * self.capacity_fraction(replica);
        self.is_mature(replica)
            && self.cost(arrival, replica, remaining_at_capacity).is_some()
            && self.may_send(id, replica)
    }

    /// The replicas of a sample that can take a request in time, by ascending cost.
    fn rank_candidates(
        &mut self,
        id: RequestId,
        arrival: &Arrival,
        sampled: Vec<ReplicaIndex>,
        remaining: f64,
    ) -> Vec<Candidate> {
        let mut candidates = Vec::with_capacity(MAX_CANDIDATES);
        for replica in sampled {
            let Some(cost) = self.cost(arrival, replica, remaining) else {
                continue;
            };
            if self.may_send(id, replica) {
                let cost = cost * (1.0 + TIE_BREAK_FRACTION * self.rng.random::<f64>());
                candidates.push(Candidate { replica, cost });
            }
        }
        candidates.sort_by(|a, b| a.cost.total_cmp(&b.cost));
        candidates
    }

    /// Replicas to compare for a request: those that may have its prompt cached, and a sample of
    /// the mature ones; all of them where they are few.
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
            // by size, or the small ones are sent as much as the large
            let size = self.replicas[replica].size();
            let accepted = self.throughput.relative_to_largest(size) > self.rng.random();
            // replicas without the model are passed over at the cost of a draw
            if accepted && self.is_eligible(replica, arrival) && !sampled.contains(&replica) {
                sampled.push(replica);
            }
        }
        sampled
    }

    /// Whether a replica is in service and serves the request's model.
    fn is_eligible(&self, replica: ReplicaIndex, arrival: &Arrival) -> bool {
        let replica = &self.replicas[replica];
        replica.serves(arrival.model) && replica.is_in_service()
    }

    /// A request's predicted first-token time at a replica, with penalties, in seconds; `None`
    /// where it can't come within `remaining` seconds or nothing more may be sent there now.
    fn cost(&self, arrival: &Arrival, replica: ReplicaIndex, remaining: f64) -> Option<f64> {
        let tokens = self.uncached_tokens(arrival, Some(replica));
        let state = &self.replicas[replica];
        let load_time = state.entry.models.load_time(arrival.model)?;
        let overdue = state
            .awaited
            .front()
            .is_some_and(|awaited| awaited.overdue_at < self.now);
        let dispatched = state.dispatched_tokens;
        if overdue || (dispatched > 0.0 && dispatched + tokens > self.slack_budget(replica)) {
            return None;
        }
        let objective = self.settings.classes[arrival.class as usize]
            .first_token_objective
            .as_secs_f64();
        let wait = (state.maturity - self.now).as_secs_f64();
        let model = self.prefill_model(replica);
        let time = wait + load_time.as_secs_f64() + model.seconds(tokens + state.awaited_tokens);
        let prefill = PREFILL_WEIGHT
            * self.prefix_cache.session_hit_rate()
            * model.seconds_per_token
            * tokens;
        let size = self.throughput.relative_to_mean(state.size());
        let weighted = time * size.powf(self.size_exponent(arrival, replica, remaining));
        let penalty = objective.min(self.admission.shortest_objective()) * self.penalty(replica);
        // a request that is sent at the last moment times out: under overload most of them would
        (time <= remaining).then_some(weighted + prefill + penalty)
    }

    /// The power of a replica's size by which predicted times are compared. A request with time to
    /// spare leaves the large replicas to those in need of them; what this router has seen of a
    /// replica lately needs no such preference.
    fn size_exponent(&self, arrival: &Arrival, replica: ReplicaIndex, remaining: f64) -> f64 {
        let has_spare_time =
            self.uncached_first_token_seconds(arrival) < SPARE_TIME_FRACTION * remaining;
        let exponent = match (self.settings.health_checks, has_spare_time) {
            (false, _) => NEUTRAL_SIZE_EXPONENT,
            (true, true) => SPARE_SIZE_EXPONENT,
            (true, false) => URGENT_SIZE_EXPONENT,
        };
        exponent * (1.0 - (-self.measurement_age(replica)).exp())
    }

    /// The penalty for an attempt at a replica, as a fraction of the shortest latency objective:
    /// for crossing zones, for a connection where none is idle, for failures. A class with a longer
    /// objective pays no more: its work weighs as much on a full zone, at others' cost.
    fn penalty(&self, replica: ReplicaIndex) -> f64 {
        let state = &self.replicas[replica];
        let crossing = if state.entry.zone == self.settings.zone {
            0.0
        } else {
            ZONE_CROSSING_WEIGHT * self.settings.cross_zone_cost
        };
        let has_idle_connection = state
            .idle_connections
            .back()
            .is_some_and(|&since| self.now - since < self.settings.idle_connection_timeout);
        let handshake = if has_idle_connection {
            0.0
        } else {
            self.settings.connection_cost
        };
        let error_rate = state.failure_rate.max(state.load.error_rate());
        crossing + handshake + FAILURE_PENALTY * error_rate
    }
}
