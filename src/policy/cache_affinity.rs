//! Cache affinity: where a prompt is likely cached, and what a request costs at a replica because
//! of it. The hit rates are measured in `estimators::prefix_cache`.

use super::balancer::{Balancer, LastTurn, SentPrefix};
use super::estimators::prefix_cache::{CacheEstimate, CacheReason};
use super::replica_table::ReplicaIndex;
use crate::interface::Arrival;

impl Balancer {
    /// The cost of a request at a replica: 1, and its uncached prompt tokens there as a multiple of
    /// a typical request's. `None` stands for a replica that has nothing of the prompt cached.
    pub(super) fn relative_cost(&self, arrival: &Arrival, replica: Option<ReplicaIndex>) -> f64 {
        1.0 + self.uncached_tokens(arrival, replica) / self.typical_tokens.max(1.0)
    }

    /// Prompt tokens that a replica likely has to prefill for this request.
    pub(super) fn uncached_tokens(&self, arrival: &Arrival, replica: Option<ReplicaIndex>) -> f64 {
        self.uncached_by_estimate(arrival, self.cache_estimate(arrival, replica))
    }

    /// Prompt tokens that remain to be prefilled where this much is cached.
    pub(super) fn uncached_by_estimate(&self, arrival: &Arrival, estimate: CacheEstimate) -> f64 {
        (f64::from(arrival.prompt_tokens) - self.prefix_cache.expected_tokens(estimate)).max(1.0)
    }

    /// The fleet's first-token time for this request where no replica of its session takes it, in
    /// seconds.
    pub(super) fn uncached_first_token_seconds(&self, arrival: &Arrival) -> f64 {
        self.throughput
            .fleet_model(self.now)
            .seconds(self.uncached_tokens(arrival, None))
    }

    /// What a replica may have cached of a prompt, and why: its shared prefix, or the session's
    /// turns, whichever is more.
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

    /// What a replica may have cached of a session's earlier turns: this router sent it the last
    /// one, or it is the home of a session of which this router sent none.
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

    /// The session's last turn that this router sent, while it is remembered.
    fn last_turn(&self, arrival: &Arrival) -> Option<LastTurn> {
        self.last_turns.get(&arrival.session?)
    }

    /// The replica of the session's last turn, while it has an index here.
    fn last_turn_replica(&self, arrival: &Arrival) -> Option<ReplicaIndex> {
        let last = self.last_turn(arrival)?;
        self.replica_index.get(&last.replica).copied()
    }

    /// The session's home replica, the same at every router with the same endpoint list: the next
    /// one on the ring that has the model.
    fn session_home(&self, arrival: &Arrival) -> Option<ReplicaIndex> {
        let eligible = |index: ReplicaIndex| self.replicas[index].serves(arrival.model);
        self.ring.home(arrival.session?, eligible)
    }

    /// The replica in service that most likely has the prompt cached, where there is one.
    pub(super) fn cached_at(&self, arrival: &Arrival) -> Option<ReplicaIndex> {
        let last = self
            .last_turn_replica(arrival)
            .filter(|&index| self.replicas[index].is_in_service());
        last.or(self.session_home(arrival))
    }

    /// Where a prompt is likely cached: at the last turn's replica and at the session's home. A
    /// shared prefix has no home: it is soon cached everywhere, and a home would draw every
    /// router's requests to one replica.
    pub(super) fn likely_cached_at(&self, arrival: &Arrival) -> [Option<ReplicaIndex>; 2] {
        [self.last_turn_replica(arrival), self.session_home(arrival)]
    }
}
