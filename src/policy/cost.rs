//! The cost of a request at a replica: its predicted first-token time plus penalties.

use super::balancer::Balancer;
use super::replica_table::ReplicaIndex;
use crate::interface::Arrival;

/// Penalty for a failed attempt, as a fraction of the shortest first-token objective. A failed
/// attempt costs time because the request is retried later at another replica.
const FAILURE_PENALTY: f64 = 0.3;
/// Weight of the penalty for crossing zones (docs/design/large-fleets.md). The cost of a crossing
/// is paid on every send, whereas time within the latency objective costs nothing.
const ZONE_CROSSING_WEIGHT: f64 = 4.0;
/// Weight of a request's prefill time in addition to the request's own first-token time, because
/// the prefill delays all requests that wait or stream at the replica. It is multiplied by the hit
/// rate of sessions, because without cache hits the prefill is equally long at all replicas
/// (docs/design/placement.md).
const PREFILL_WEIGHT: f64 = 4.0;
/// A request has spare time if its predicted first-token time is less than this fraction of its
/// remaining time (docs/design/large-fleets.md).
const SPARE_TIME_FRACTION: f64 = 1.0 / 8.0;
/// Exponent of the replica's size, relative to the mean size, for a request with spare time. The
/// predicted time is multiplied by this power before replicas are compared; above 1, small replicas
/// are preferred (docs/design/large-fleets.md).
const SPARE_SIZE_EXPONENT: f64 = 2.0;
/// Size exponent for a request without spare time; below 1, large replicas are preferred
/// (docs/design/large-fleets.md).
const URGENT_SIZE_EXPONENT: f64 = 0.5;
/// Size exponent without health checks. At 1, the size affects only the random draw, which is
/// weighted by it. Without load reports, nothing corrects the sum of all routers' preferences.
const NEUTRAL_SIZE_EXPONENT: f64 = 1.0;
/// Which replicas are excluded from a selection by estimates.
#[derive(Clone, Copy, Debug)]
pub(super) struct CostLimits {
    /// Within how many seconds the first token must be predicted.
    pub(super) seconds: f64,
    /// Whether replicas with an overdue first token are excluded.
    pub(super) excludes_overdue: bool,
}

impl Balancer {
    /// Returns the cost of a request at a replica: the predicted first-token time plus penalties,
    /// in seconds. Returns `None` if the replica is outside the limits, or if nothing more may be
    /// sent to it now.
    pub(super) fn cost(
        &self,
        arrival: &Arrival,
        replica: ReplicaIndex,
        limits: CostLimits,
    ) -> Option<f64> {
        let tokens = self.uncached_tokens(arrival, Some(replica));
        let state = &self.replicas[replica];
        let dispatched = state.dispatched_tokens;
        if (limits.excludes_overdue && state.has_overdue_first_token(self.now))
            || (dispatched > 0.0 && dispatched + tokens > self.slack_budget(replica))
        {
            return None;
        }
        let objective = self.settings.classes[arrival.class as usize]
            .first_token_objective
            .as_secs_f64();
        let time = self.predicted_first_token_seconds(arrival, replica)?;
        let model = self.prefill_model(replica);
        let prefill_cost = PREFILL_WEIGHT
            * self.prefix_cache.session_hit_rate()
            * model.seconds_per_token
            * tokens;
        let size = self.fleet_prefill_models.relative_to_mean(state.size);
        let weighted_time = time * size.powf(self.size_exponent(arrival, replica, limits.seconds));
        let penalty = objective.min(self.admission.shortest_objective()) * self.penalty(replica);
        // A request whose first token would come too late is not sent. Under overload, most
        // requests would otherwise be sent at the last moment and time out.
        (time <= limits.seconds).then_some(weighted_time + prefill_cost + penalty)
    }

    /// Returns the predicted time from now to the first token of a request at a replica, in
    /// seconds; `None` if the replica doesn't serve the model.
    pub(super) fn predicted_first_token_seconds(
        &self,
        arrival: &Arrival,
        replica: ReplicaIndex,
    ) -> Option<f64> {
        let tokens = self.uncached_tokens(arrival, Some(replica));
        let state = &self.replicas[replica];
        let load_time = state.entry.models.load_time(arrival.model)?;
        let wait = (state.maturity - self.now).as_secs_f64();
        let prefill = self
            .prefill_model(replica)
            .seconds(tokens + state.awaited_tokens);
        Some(wait + load_time.as_secs_f64() + prefill)
    }

    /// Returns the exponent of a replica's size by which its predicted times are weighted. A
    /// request with spare time leaves the large replicas to urgent requests. The more recently this
    /// router measured the replica, the closer the exponent is to 0, because recent measurements
    /// make such a preference unnecessary.
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

    /// Returns the penalty for an attempt at a replica, as a fraction of the shortest first-token
    /// objective. It covers the zone crossing, a new connection if none is idle, and failures. A
    /// class with a longer objective gets no higher penalty, because its work loads a full zone
    /// just as much, at the expense of other requests.
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
