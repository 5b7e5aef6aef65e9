//! Cache affinity: at which replicas a prompt is likely cached, and how this affects the cost of a
//! request there. `estimators::prefix_cache` measures the hit rates.

use super::balancer::{Balancer, LastTurn, SentPrefix};
use super::estimators::prefix_cache::{CacheEstimate, CacheReason};
use super::replica_table::ReplicaIndex;
use crate::interface::Arrival;

impl Balancer {
    /// Returns the relative cost of a request at a replica: 1 plus the uncached prompt tokens there
    /// as a multiple of a typical request's. `None` means a replica that has none of the session's
    /// turns cached.
    pub(super) fn relative_cost(&self, arrival: &Arrival, replica: Option<ReplicaIndex>) -> f64 {
        1.0 + self.uncached_tokens(arrival, replica) / self.typical_tokens.max(1.0)
    }

    /// Returns how many prompt tokens a replica likely has to prefill for this request.
    pub(super) fn uncached_tokens(&self, arrival: &Arrival, replica: Option<ReplicaIndex>) -> f64 {
        self.uncached_by_estimate(arrival, self.cache_estimate(arrival, replica))
    }

    /// Returns how many prompt tokens are left to prefill, given an estimate of the cached tokens.
    pub(super) fn uncached_by_estimate(&self, arrival: &Arrival, estimate: CacheEstimate) -> f64 {
        (f64::from(arrival.prompt_tokens) - self.prefix_cache.expected_tokens(estimate)).max(1.0)
    }

    /// Returns the fleet's predicted first-token time for this request, in seconds, at a replica
    /// that has none of its session's turns cached.
    pub(super) fn uncached_first_token_seconds(&self, arrival: &Arrival) -> f64 {
        self.fleet_prefill_models
            .fleet_model(self.now)
            .seconds(self.uncached_tokens(arrival, None))
    }

    /// Returns how much of a prompt a replica may have cached, and for which reason: the shared
    /// prefix or the session's turns, whichever is larger.
    pub(super) fn cache_estimate(
        &self,
        arrival: &Arrival,
        index: Option<ReplicaIndex>,
    ) -> CacheEstimate {
        let by_prefix = self.prefix_estimate(arrival, index);
        let Some(by_session) = self.session_estimate(arrival, index) else {
            return by_prefix;
        };
        let session_tokens = self.prefix_cache.expected_tokens(by_session);
        if session_tokens > self.prefix_cache.expected_tokens(by_prefix) {
            by_session
        } else {
            by_prefix
        }
    }

    fn prefix_estimate(&self, arrival: &Arrival, index: Option<ReplicaIndex>) -> CacheEstimate {
        let replica = index.map(|index| self.replicas[index].entry.replica);
        let was_sent = arrival
            .prefix
            .zip(replica)
            .is_some_and(|(prefix, replica)| {
                let sent = SentPrefix { prefix, replica };
                self.sent_prefixes.get(&sent).is_some()
            });
        CacheEstimate {
            reason: if was_sent {
                CacheReason::SentPrefix
            } else {
                CacheReason::SharedPrefix
            },
            tokens: f64::from(arrival.shared_prefix_tokens),
        }
    }

    /// Returns how much a replica may have cached of a session's earlier turns. It is `None` unless
    /// this router sent the last turn to the replica, or has no record of a turn of the session and
    /// the replica is the session's home.
    fn session_estimate(
        &self,
        arrival: &Arrival,
        index: Option<ReplicaIndex>,
    ) -> Option<CacheEstimate> {
        let index = index?;
        match self.last_turn(arrival) {
            Some(turn) if turn.replica == self.replicas[index].entry.replica => {
                Some(CacheEstimate {
                    reason: CacheReason::LastTurn,
                    tokens: f64::from(turn.prompt_tokens.min(arrival.prompt_tokens)),
                })
            }
            None if self.session_home(arrival) == Some(index) => Some(CacheEstimate {
                reason: CacheReason::SessionHome,
                tokens: f64::from(arrival.prompt_tokens),
            }),
            _ => None,
        }
    }

    /// Returns the session's last turn that this router sent, if its record still exists.
    fn last_turn(&self, arrival: &Arrival) -> Option<LastTurn> {
        self.last_turns.get(&arrival.session?)
    }

    /// Returns the replica of the session's last turn, if the replica still has an index.
    fn last_turn_replica(&self, arrival: &Arrival) -> Option<ReplicaIndex> {
        let last = self.last_turn(arrival)?;
        self.replica_index.get(&last.replica).copied()
    }

    /// Returns the session's home replica: the first one on the hash ring, from the session's
    /// position on, that serves the model. It is the same at all routers with the same endpoint
    /// list.
    fn session_home(&self, arrival: &Arrival) -> Option<ReplicaIndex> {
        let eligible = |index: ReplicaIndex| self.replicas[index].serves(arrival.model);
        self.ring.home(arrival.session?, eligible)
    }

    /// Returns the replica in service that most likely has the prompt cached, if any.
    pub(super) fn cached_at(&self, arrival: &Arrival) -> Option<ReplicaIndex> {
        let last = self
            .last_turn_replica(arrival)
            .filter(|&index| self.replicas[index].is_in_service());
        last.or(self.session_home(arrival))
    }

    /// Returns the replicas where a prompt is likely cached: the replica of the session's last turn
    /// and the session's home. A shared prefix has no home replica: it is soon cached at all
    /// replicas, and a home would attract the requests of all routers to one replica.
    pub(super) fn likely_cached_at(&self, arrival: &Arrival) -> [Option<ReplicaIndex>; 2] {
        [self.last_turn_replica(arrival), self.session_home(arrival)]
    }
}
