//! Records outcomes of attempts in the estimators and in admission control.

use super::balancer::Balancer;
use super::estimators::decode_steps::StreamSample;
use super::estimators::prefix_cache::CacheSample;
use super::estimators::throughput::PrefillSample;
use super::in_flight::{Attempt, AttemptPhase};
use super::replica::ReplicaState;
use super::replica_table::ReplicaIndex;
use crate::interface::{Arrival, AttemptEnded};

/// Weight of a new sample in a replica's own measurements: about the last eight count. Value: a
/// router of many sees few of one replica.
pub(super) const REPLICA_SAMPLE_WEIGHT: f64 = 1.0 / 8.0;

impl Balancer {
    /// Records whether a request of a model had its first token in time.
    pub(super) fn record_admission_outcome(&mut self, model: u32, in_time: bool) {
        self.record_admission_miss(model, f64::from(u8::from(!in_time)));
    }

    /// Records a miss of a request of a model, and how far it tells of overload.
    pub(super) fn record_admission_miss(&mut self, model: u32, missed: f64) {
        self.admission
            .for_model(model, &self.settings, self.now)
            .record_outcome(missed, self.now);
    }

    /// How far a miss at a replica tells of overload, from 0 to 1. One that has failed since its
    /// last answer shows its own fault again, unless many others fail too: without that the misses
    /// of a few would weigh the more, the fewer requests are admitted.
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

    /// Records what a complete answer shows of prefill, decode steps and the prompt's cached
    /// tokens.
    pub(super) fn record_answer(
        &mut self,
        arrival: &Arrival,
        attempt: &Attempt,
        end: &AttemptEnded,
    ) {
        let index = attempt.replica;
        self.replicas[index].idle_connections.push_back(self.now);
        // what was prefilled is known at the answer's end; a sample taken before would fit prefill
        // that was not done, or that was wrongly expected to be cached
        let prefilled = match end.cached_tokens {
            Some(cached) => f64::from(arrival.prompt_tokens.saturating_sub(cached).max(1)),
            None => attempt.uncached_tokens,
        };
        let first_token_after = match attempt.phase {
            AttemptPhase::Streaming { since } => since - attempt.sent_at,
            _ => end.elapsed,
        };
        // a model's load is no prefill
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
        let size = replica.size();
        let sample = PrefillSample {
            kind,
            size,
            tokens,
            seconds,
        };
        self.throughput
            .record(sample, self.typical_tokens, self.now);
        replica
            .prefill_fit
            .record(tokens, seconds, REPLICA_SAMPLE_WEIGHT);
        let prior = self.throughput.model_for(kind, size, self.now);
        replica.prefill_model = replica.prefill_fit.model(prior, self.typical_tokens);
        replica.measured_at = self.now;
        replica.has_answered = true;
        replica.consecutive_failures = 0;
    }

    /// Records the seconds of a complete stream from a replica.
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
