//! The fleet's decode step, from complete streams.

use super::prefill_model::PRIOR_SAMPLES;
use super::running_mean;
use super::step_time::StepTimeSums;
use crate::interface::Timestamp;

/// Weight of a new answer: about the last 32 count. Value: a design choice, not measured alone.
const SAMPLE_WEIGHT: f64 = 1.0 / 32.0;
/// The fraction of the answers with a limit of their own that reach it. Value: a design choice.
const ANSWERS_AT_LIMIT_FRACTION: f64 = 0.1;
/// The longest step as a multiple of the mean. Value: limits are reached by half or more; pauses
/// of a stream widen the tail too.
const MAX_STEP_RATIO: f64 = 2.0;
/// Tokens of a typical answer before the first one. Value: a design choice, soon replaced.
const INITIAL_ANSWER_TOKENS: f64 = 100.0;

/// What streams have shown of the fleet's decode steps.
#[derive(Clone, Debug)]
pub struct DecodeSteps {
    /// The highest token limit seen of each class.
    max_token_limits: Vec<u32>,
    /// Tokens of a typical answer.
    answer_tokens: f64,
    /// The step of an answer that reaches its limit, as a multiple of the mean.
    step_ratio: f64,
    sums: StepTimeSums,
    /// A step in seconds, as long as nothing is known.
    initial_step: f64,
    /// Seconds in which a stream's weight decays to 1/e.
    decay_seconds: f64,
}

/// A complete stream.
#[derive(Clone, Copy, Debug)]
pub struct StreamSample {
    /// The request's class.
    pub class: usize,
    /// The most tokens that the answer could have.
    pub token_limit: u32,
    /// Seconds from its first token to its end.
    pub seconds: f64,
    /// Its replica's decode step as a multiple of the fleet's.
    pub slowness: f64,
}

impl DecodeSteps {
    /// No measurements yet, for this number of classes.
    pub fn new(classes: usize, initial_step: f64, decay_seconds: f64) -> DecodeSteps {
        DecodeSteps {
            max_token_limits: vec![0; classes],
            answer_tokens: INITIAL_ANSWER_TOKENS,
            step_ratio: 1.0,
            sums: StepTimeSums::default(),
            initial_step,
            decay_seconds,
        }
    }

    /// Records a complete stream. Returns the seconds that the fleet takes for such an answer,
    /// where the stream shows anything of steps.
    ///
    /// A limit below its class's highest was set for this answer, which then comes near it; others
    /// stop far earlier, and their times would make steps look short.
    pub fn record(&mut self, stream: StreamSample, now: Timestamp) -> Option<f64> {
        let StreamSample {
            class,
            token_limit,
            seconds,
            slowness,
        } = stream;
        let highest = self.max_token_limits.get_mut(class)?;
        *highest = (*highest).max(token_limit);
        if token_limit >= *highest {
            return None;
        }
        let fleet_step = self.mean_step(now);
        let tokens = f64::from(token_limit);
        // answers reach their limits to different degrees; the quantile that all but
        // ANSWERS_AT_LIMIT_FRACTION of them stay under is taken for a whole step
        let above = seconds / tokens / (fleet_step * slowness) > self.step_ratio;
        let direction = if above {
            1.0 - ANSWERS_AT_LIMIT_FRACTION
        } else {
            -ANSWERS_AT_LIMIT_FRACTION
        };
        let change = direction * SAMPLE_WEIGHT;
        self.step_ratio = (self.step_ratio * (1.0 + change)).min(MAX_STEP_RATIO);
        running_mean::update(&mut self.answer_tokens, tokens, SAMPLE_WEIGHT);
        self.sums.record(seconds, tokens, now, self.decay_seconds);
        Some(tokens * fleet_step)
    }

    /// The fleet's mean step, in seconds.
    pub fn mean_step(&self, now: Timestamp) -> f64 {
        self.sums.decayed(now, self.decay_seconds).mean_with_prior(
            self.initial_step / self.step_ratio,
            PRIOR_SAMPLES * self.answer_tokens,
        )
    }

    /// The step of an answer that reaches its limit, in seconds.
    pub fn full_step(&self, now: Timestamp) -> f64 {
        self.step_ratio * self.mean_step(now)
    }

    /// The fleet's time for a typical answer, in seconds.
    pub fn typical_answer_seconds(&self, now: Timestamp) -> f64 {
        self.answer_tokens * self.mean_step(now)
    }
}

#[cfg(test)]
mod tests;
