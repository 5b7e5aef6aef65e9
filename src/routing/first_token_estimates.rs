//! Estimates of the time from a submission to each model's first token. An estimate is a linear
//! function of the prompt length plus a margin, both computed from recent measurements.

use rustc_hash::FxHashMap;

use crate::interface::{Span, Timestamp};
use crate::policy::{LinearFit, LinearModel};

/// The weight of a new sample: about the last 16 samples count.
const SAMPLE_WEIGHT: f64 = 1.0 / 16.0;
/// The margin above the line, in mean deviations. RFC 6298 computes retransmission timeouts in the
/// same way.
const MARGIN_DEVIATIONS: f64 = 4.0;
/// The time constant of the decay of an estimate without new samples, in seconds: the estimate
/// falls to 1/e in this time. Without the decay a model that was slow once would never be tried
/// again.
const DECAY_SECONDS: f64 = 20.0;

/// The statistics of the measurements of one model.
#[derive(Clone, Copy, Debug)]
struct Measurements {
    fit: LinearFit,
    /// The moving average of the prompt length, in tokens.
    mean_prompt_tokens: f64,
    line: LinearModel,
    /// The moving average of the distance between a sample and the line, in seconds.
    mean_deviation: f64,
    /// When the last sample was recorded.
    updated_at: Timestamp,
}

impl Measurements {
    /// Starts with one sample: a constant line at the sample, and a mean deviation of half of it.
    fn first(prompt_tokens: f64, seconds: f64, now: Timestamp) -> Measurements {
        let mut measurements = Measurements {
            fit: LinearFit::default(),
            mean_prompt_tokens: prompt_tokens.max(1.0),
            line: LinearModel {
                seconds_per_token: 0.0,
                base_seconds: seconds,
            },
            mean_deviation: seconds / 2.0,
            updated_at: now,
        };
        measurements.fit_line(prompt_tokens, seconds);
        measurements
    }

    fn record(&mut self, prompt_tokens: f64, seconds: f64, now: Timestamp) {
        let deviation = (seconds - self.line.seconds(prompt_tokens)).abs();
        self.mean_deviation += (deviation - self.mean_deviation) * SAMPLE_WEIGHT;
        self.mean_prompt_tokens += (prompt_tokens - self.mean_prompt_tokens) * SAMPLE_WEIGHT;
        self.updated_at = now;
        self.fit_line(prompt_tokens, seconds);
    }

    fn fit_line(&mut self, prompt_tokens: f64, seconds: f64) {
        self.fit.record(prompt_tokens, seconds, SAMPLE_WEIGHT);
        self.line = self.fit.model(self.line, self.mean_prompt_tokens);
    }

    fn estimate(&self, prompt_tokens: f64, now: Timestamp) -> Span {
        let decay = (-(now - self.updated_at).as_secs_f64() / DECAY_SECONDS).exp();
        let margin = MARGIN_DEVIATIONS * self.mean_deviation;
        Span::from_secs_f64((self.line.seconds(prompt_tokens) + margin) * decay)
    }
}

/// The estimates of all models by model number. The number of models limits the size.
#[derive(Clone, Debug, Default)]
pub struct FirstTokenEstimates {
    by_model: FxHashMap<u32, Measurements>,
    /// The estimate for a model without measurements.
    initial: Span,
}

impl FirstTokenEstimates {
    /// Creates estimates without measurements. `initial` is the estimate for a model that has not
    /// been measured yet: the shortest first-token objective of the service classes.
    pub fn new(initial: Span) -> FirstTokenEstimates {
        FirstTokenEstimates {
            by_model: FxHashMap::default(),
            initial,
        }
    }

    /// Records that the first token arrived `elapsed` after the submission.
    pub fn record(&mut self, model: u32, prompt_tokens: u32, elapsed: Span, now: Timestamp) {
        let prompt_tokens = f64::from(prompt_tokens);
        let seconds = elapsed.as_secs_f64();
        self.by_model
            .entry(model)
            .and_modify(|measurements| measurements.record(prompt_tokens, seconds, now))
            .or_insert_with(|| Measurements::first(prompt_tokens, seconds, now));
    }

    /// Records that a submission ended after `waited` without a first token although a model server
    /// had received it: the model needs at least that long.
    pub fn record_unanswered(
        &mut self,
        model: u32,
        prompt_tokens: u32,
        waited: Span,
        now: Timestamp,
    ) {
        if self.estimate(model, prompt_tokens, now) < waited {
            self.record(model, prompt_tokens, waited, now);
        }
    }

    /// Returns the time within which a model is likely to produce its first token.
    pub fn estimate(&self, model: u32, prompt_tokens: u32, now: Timestamp) -> Span {
        match self.by_model.get(&model) {
            Some(measurements) => measurements.estimate(f64::from(prompt_tokens), now),
            None => self.initial,
        }
    }
}

#[cfg(test)]
mod tests;
