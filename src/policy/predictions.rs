//! What a replica is predicted to do now: its first-token times, decode step and slack budget, from
//! its own measurements as far as they are recent, else from its load report, kind and size.

use super::balancer::Balancer;
use super::estimators::prefill_model::LinearModel;
use super::replica_table::ReplicaIndex;
use super::slack_budget::slack_budget;
use crate::interface::{Class, Span};

/// How many times slower a replica's slowness relative to the fleet decays than the fleet's own
/// measurements. Value: a design choice, as kinds of machines don't change.
const SLOWNESS_DECAY_FACTOR: f64 = 4.0;
/// The token interval objective assumed where nothing is queued or streams, as a multiple of the
/// shortest. Value: beyond any objective, so that it limits nothing.
const UNLIMITED_INTERVAL_FACTOR: f64 = 1e3;

impl Balancer {
    /// The shortest span of the classes that have requests among these counts, in seconds; infinite
    /// where none has.
    fn shortest(&self, counts: &[u32], span: fn(&Class) -> Span) -> f64 {
        counts
            .iter()
            .zip(&self.settings.classes)
            .filter(|(count, _)| **count > 0)
            .map(|(_, class)| span(class).as_secs_f64())
            .fold(f64::INFINITY, f64::min)
    }

    /// The shortest token interval objective of this router's requests at a replica, else of those
    /// queued, in seconds.
    pub(super) fn strictest_token_interval(&self, index: ReplicaIndex) -> f64 {
        let token_interval = |class: &Class| class.token_interval_objective;
        let in_flight = self.shortest(&self.replicas[index].in_flight_by_class, token_interval);
        if in_flight.is_finite() {
            return in_flight;
        }
        let queued = self.shortest(self.queue.by_class(), token_interval);
        queued.min(self.shortest_token_interval * UNLIMITED_INTERVAL_FACTOR)
    }

    /// Seconds of a replica's decode step.
    pub(super) fn decode_step(&self, index: ReplicaIndex) -> f64 {
        let step = self.decode_steps.full_step(self.now);
        (step * self.slowness(index)).max(self.shortest_token_interval / 2.0)
    }

    /// A replica's decode step as a multiple of the fleet's.
    pub(super) fn slowness(&self, index: ReplicaIndex) -> f64 {
        let typical_seconds = self.decode_steps.typical_answer_seconds(self.now);
        self.replicas[index]
            .step_time
            .decayed(self.now, self.slowness_decay_seconds())
            .mean_with_prior(1.0, typical_seconds)
    }

    /// Seconds in which what was measured of a replica's slowness decays to 1/e.
    pub(super) fn slowness_decay_seconds(&self) -> f64 {
        SLOWNESS_DECAY_FACTOR * self.decay_seconds
    }

    /// A replica's first-token times: its own, as they decay into those of its kind and size.
    pub(super) fn prefill_model(&self, index: ReplicaIndex) -> LinearModel {
        let replica = &self.replicas[index];
        let slowness =
            replica
                .load
                .slowness(&self.fleet_load, self.now, self.slowness_decay_seconds());
        let prior = self
            .throughput
            .model_for(replica.entry.machine_kind, replica.size(), self.now);
        replica
            .prefill_model
            .decayed_towards(prior.scaled(slowness), self.measurement_age(index))
    }

    /// How long ago this router measured a replica's first token, in spans over which that decays;
    /// infinite where it never did, so that what the load report shows counts in full.
    pub(super) fn measurement_age(&self, index: ReplicaIndex) -> f64 {
        let replica = &self.replicas[index];
        if replica.has_answered {
            (self.now - replica.measured_at).as_secs_f64() / self.decay_seconds
        } else {
            f64::INFINITY
        }
    }

    /// Prompt tokens that a replica may be sent in one step.
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
