//! The fleet's decode step time, estimated from complete streams.

use super::prefill_model::PRIOR_SAMPLES;
use super::running_mean;
use super::step_time::StepTimeSums;
use crate::interface::Timestamp;

/// Weight of a new answer in the estimates: about the last 32 answers count.
const SAMPLE_WEIGHT: f64 = 1.0 / 32.0;
/// Assumed fraction of the answers that reach their token limit, among those whose limit is below
/// the highest of their class.
const ANSWERS_AT_LIMIT_FRACTION: f64 = 0.1;
/// Maximum of `DecodeSteps::step_ratio`. Answers use at least half of their limit, and the ratio
/// must not grow further from pauses of a stream, which also widen the tail.
const MAX_STEP_RATIO: f64 = 2.0;
/// Tokens of a typical answer, assumed until answers have been recorded.
const INITIAL_ANSWER_TOKENS: f64 = 100.0;

/// Estimates of the fleet's decode step time.
#[derive(Clone, Debug)]
pub struct DecodeSteps {
    /// The highest token limit seen of each class.
    max_token_limits: Vec<u32>,
    /// Tokens of a typical answer.
    answer_tokens: f64,
    /// The step time of an answer that reaches its limit, as a multiple of the mean step time.
    step_ratio: f64,
    sums: StepTimeSums,
    /// The step time in seconds that is assumed before the first sample.
    initial_step: f64,
    /// Seconds in which a stream's weight decays to 1/e.
    decay_seconds: f64,
}

/// The measurements of a complete stream.
#[derive(Clone, Copy, Debug)]
pub struct StreamSample {
    /// The request's class.
    pub class: usize,
    /// Maximum number of tokens in the answer.
    pub token_limit: u32,
    /// Seconds from the first token to the end of the stream.
    pub seconds: f64,
    /// The decode step time of the stream's replica, as a multiple of the fleet's.
    pub slowness: f64,
}

impl DecodeSteps {
    /// Creates estimates without samples, for the given number of classes.
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

    /// Records a complete stream. Returns the seconds that the fleet takes for such an answer, or
    /// `None` if the stream says nothing about the step time.
    ///
    /// Only streams with a token limit below the highest of their class are used: such a limit was
    /// set for this answer, which then comes close to it. Other answers end far before their limit,
    /// so their times would make steps look too short.
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
        // Answers use different parts of their limits. The quantile that all but
        // ANSWERS_AT_LIMIT_FRACTION of the answers stay below is taken as the full step.
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

    /// The fleet's mean step time, in seconds per token of the answers' limits.
    pub fn mean_step(&self, now: Timestamp) -> f64 {
        self.sums.decayed(now, self.decay_seconds).mean_with_prior(
            self.initial_step / self.step_ratio,
            PRIOR_SAMPLES * self.answer_tokens,
        )
    }

    /// The step time of an answer that reaches its limit, in seconds.
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
