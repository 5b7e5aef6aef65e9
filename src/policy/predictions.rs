//! Predictions of a replica's current first-token times, decode step and slack budget. They are
//! based on the replica's own measurements as far as these are recent, otherwise on its load
//! report, kind of machine and size.

use super::balancer::Balancer;
use super::estimators::prefill_model::LinearModel;
use super::replica_table::ReplicaIndex;
use super::slack_budget::slack_budget;
use crate::interface::{Class, Span};

/// Factor by which the measurements of a replica's slowness relative to the fleet decay more slowly
/// than those of the fleet, because a machine's kind does not change.
const SLOWNESS_DECAY_FACTOR: f64 = 4.0;
/// Token interval objective assumed while no request is queued or in flight, as a multiple of the
/// shortest one. It is longer than any objective, so it limits nothing.
const UNLIMITED_INTERVAL_FACTOR: f64 = 1e3;

impl Balancer {
    /// Returns the shortest span, in seconds, of the classes whose request count is not 0, or
    /// infinity if all counts are 0.
    fn shortest(&self, counts: &[u32], span: fn(&Class) -> Span) -> f64 {
        counts
            .iter()
            .zip(&self.settings.classes)
            .filter(|(count, _)| **count > 0)
            .map(|(_, class)| span(class).as_secs_f64())
            .fold(f64::INFINITY, f64::min)
    }

    /// Returns the shortest token interval objective, in seconds, of this router's requests in
    /// flight at a replica, or of the queued requests if none is in flight there.
    pub(super) fn strictest_token_interval(&self, index: ReplicaIndex) -> f64 {
        let token_interval = |class: &Class| class.token_interval_objective;
        let in_flight = self.shortest(&self.replicas[index].in_flight_by_class, token_interval);
        if in_flight.is_finite() {
            return in_flight;
        }
        let queued = self.shortest(self.queue.by_class(), token_interval);
        queued.min(self.shortest_token_interval * UNLIMITED_INTERVAL_FACTOR)
    }

    /// Returns the duration of a replica's decode step, in seconds.
    pub(super) fn decode_step(&self, index: ReplicaIndex) -> f64 {
        let step = self.decode_steps.full_step(self.now);
        (step * self.slowness(index)).max(self.shortest_token_interval / 2.0)
    }

    /// Returns a replica's decode step as a multiple of the fleet's.
    pub(super) fn slowness(&self, index: ReplicaIndex) -> f64 {
        let typical_seconds = self.decode_steps.typical_answer_seconds(self.now);
        self.replicas[index]
            .step_time
            .decayed(self.now, self.slowness_decay_seconds())
            .mean_with_prior(1.0, typical_seconds)
    }

    /// Returns the time in which measurements of a replica's slowness decay to 1/e, in seconds.
    pub(super) fn slowness_decay_seconds(&self) -> f64 {
        SLOWNESS_DECAY_FACTOR * self.decay_seconds
    }

    /// Returns the model of a replica's first-token times: the one fitted to its own measurements,
    /// which decays towards that of its machine kind and size, scaled by its load report.
    pub(super) fn prefill_model(&self, index: ReplicaIndex) -> LinearModel {
        let replica = &self.replicas[index];
        let slowness =
            replica
                .load
                .slowness(&self.fleet_load, self.now, self.slowness_decay_seconds());
        let prior =
            self.fleet_prefill_models
                .model_for(replica.entry.machine_kind, replica.size, self.now);
        replica
            .prefill_model
            .decayed_towards(prior.scaled(slowness), self.measurement_age(index))
    }

    /// Returns the time since this router last measured a first token of a replica, as a multiple
    /// of the decay time. It is infinite if this router never measured one, so that the load report
    /// gets the full weight.
    pub(super) fn measurement_age(&self, index: ReplicaIndex) -> f64 {
        let replica = &self.replicas[index];
        if replica.has_answered {
            (self.now - replica.measured_at).as_secs_f64() / self.decay_seconds
        } else {
            f64::INFINITY
        }
    }

    /// Returns how many prompt tokens may be sent to a replica in one step.
    pub(super) fn slack_budget(&self, index: ReplicaIndex) -> f64 {
        let objective = self.shortest(self.queue.by_class(), |class| class.first_token_objective);
        let model = self.prefill_model(index);
        slack_budget(
            model,
            model.seconds(self.typical_tokens),
            objective,
            self.strictest_token_interval(index),
            self.decode_step(index),
        )
    }
}
