//! Records the outcomes of attempts in the estimators and in admission control.

use super::balancer::Balancer;
use super::estimators::decode_steps::StreamSample;
use super::estimators::fleet_prefill_models::PrefillSample;
use super::estimators::prefix_cache::CacheSample;
use super::in_flight::{Attempt, AttemptPhase};
use super::replica::ReplicaState;
use super::replica_table::ReplicaIndex;
use crate::interface::{Arrival, AttemptEnded, MissCause};

/// Weight of a new sample in the running means of a single replica: about the last eight samples
/// count. In a fleet of many routers, each router gets few samples of one replica.
pub(super) const REPLICA_SAMPLE_WEIGHT: f64 = 1.0 / 8.0;

impl Balancer {
    /// Records in a model's admission control that a request met its objective.
    pub(super) fn record_admission_success(&mut self, model: u32) {
        self.admission
            .for_model(model, &self.settings, self.now)
            .record_outcome(0.0, self.now);
    }

    /// Records a missed objective in a model's admission control, weighted by its overload evidence
    /// from 0 to 1. Time that ran out before the request was sent indicates overload only as far as
    /// the replicas are in use: to admit fewer requests does not help against other causes, and
    /// leaves fewer answers that could show that they have ended.
    pub(super) fn record_admission_miss(&mut self, model: u32, cause: MissCause, evidence: f64) {
        self.misses[cause as usize] += 1;
        let evidence = match cause {
            MissCause::NoTimeLeft => evidence * self.load_evidence(),
            MissCause::SlowSteps | MissCause::AttemptsFailed => evidence,
        };
        self.admission
            .for_model(model, &self.settings, self.now)
            .record_outcome(evidence, self.now);
    }

    /// The weight of a miss at a replica as evidence of overload, from 0 to 1. If the replica has
    /// failed since its last answer, the miss shows the replica's own fault again, so its weight is
    /// the fraction of replicas in service that are failing. At full weight, the misses of a few
    /// failing replicas would count more as fewer requests are admitted.
    pub(super) fn overload_evidence(&self, index: ReplicaIndex) -> f64 {
        if self.replicas[index].consecutive_failures == 0 {
            return 1.0;
        }
        let in_service = self
            .replicas
            .iter()
            .filter(|replica| replica.is_in_service());
        let failing = |replica: &&ReplicaState| replica.consecutive_failures > 0;
        let total = in_service.clone().count().max(1);
        in_service.filter(failing).count() as f64 / total as f64
    }

    /// Records the prefill time, decode steps and cached prompt tokens of a complete answer.
    pub(super) fn record_answer(
        &mut self,
        arrival: &Arrival,
        attempt: &Attempt,
        end: &AttemptEnded,
    ) {
        let index = attempt.replica;
        self.replicas[index].idle_connections.push_back(self.now);
        // the number of prefilled tokens is known only at the end of the answer; an earlier sample
        // would include tokens that were cached, or omit tokens wrongly expected to be cached
        let prefilled = match end.cached_tokens {
            Some(cached) => f64::from(arrival.prompt_tokens.saturating_sub(cached).max(1)),
            None => attempt.uncached_tokens,
        };
        let first_token_after = match attempt.phase {
            AttemptPhase::Streaming { since } => since - attempt.sent_at,
            _ => end.elapsed,
        };
        // a first-token time that includes the loading of the model does not measure prefill
        if attempt.model_load_time.is_zero() {
            let tokens = attempt.queued_tokens - attempt.uncached_tokens + prefilled;
            self.record_prefill(index, tokens, first_token_after.as_secs_f64());
        }
        if let AttemptPhase::Streaming { since } = attempt.phase {
            self.record_stream(index, arrival, (self.now - since).as_secs_f64());
        }
        if let Some(cached_tokens) = end.cached_tokens {
            let sample = CacheSample {
                prompt_tokens: arrival.prompt_tokens,
                shared_prefix_tokens: arrival.shared_prefix_tokens,
                cached_tokens,
            };
            self.prefix_cache.record(attempt.cache_estimate, sample);
        }
    }

    /// Records a first-token time of a replica.
    fn record_prefill(&mut self, index: ReplicaIndex, tokens: f64, seconds: f64) {
        let replica = &mut self.replicas[index];
        let kind = replica.entry.machine_kind;
        let size = replica.size;
        let sample = PrefillSample {
            kind,
            size,
            tokens,
            seconds,
        };
        self.fleet_prefill_models
            .record(sample, self.typical_tokens, self.now);
        replica
            .prefill_fit
            .record(tokens, seconds, REPLICA_SAMPLE_WEIGHT);
        let prior = self.fleet_prefill_models.model_for(kind, size, self.now);
        replica.prefill_model = replica.prefill_fit.model(prior, self.typical_tokens);
        replica.measured_at = self.now;
        replica.has_answered = true;
        replica.consecutive_failures = 0;
    }

    /// Records the duration of a complete stream from a replica, in seconds.
    fn record_stream(&mut self, index: ReplicaIndex, arrival: &Arrival, seconds: f64) {
        let stream = StreamSample {
            class: arrival.class as usize,
            token_limit: arrival.max_output_tokens,
            seconds,
            slowness: self.slowness(index),
        };
        if let Some(fleet_seconds) = self.decode_steps.record(stream, self.now) {
            let decay_seconds = self.slowness_decay_seconds();
            self.replicas[index]
                .step_time
                .record(seconds, fleet_seconds, self.now, decay_seconds);
        }
    }
}
