//! The mean time of a decode step, from the times and tokens of complete streams. Older streams
//! weigh less. `decode_steps` decides which streams are recorded.

use crate::interface::Timestamp;

/// Decaying sums of the streams' times after the first token, and of their tokens.
#[derive(Clone, Copy, Debug, Default)]
pub struct StepTimeSums {
    seconds: f64,
    tokens: f64,
    as_of: Timestamp,
}

impl StepTimeSums {
    /// Records a stream's time for its tokens. Its weight decays to 1/e in `decay_seconds`.
    pub fn record(&mut self, seconds: f64, tokens: f64, now: Timestamp, decay_seconds: f64) {
        *self = self.decayed(now, decay_seconds);
        self.seconds += seconds;
        self.tokens += tokens;
    }

    /// The sums decayed to the time `now`.
    pub fn decayed(&self, now: Timestamp, decay_seconds: f64) -> StepTimeSums {
        let remaining = (-(now - self.as_of).as_secs_f64() / decay_seconds).exp();
        StepTimeSums {
            seconds: self.seconds * remaining,
            tokens: self.tokens * remaining,
            as_of: now,
        }
    }

    /// The mean time per token, with `prior_tokens` additional tokens of the time `prior` each.
    pub fn mean_with_prior(&self, prior: f64, prior_tokens: f64) -> f64 {
        (self.seconds + prior_tokens * prior) / (self.tokens + prior_tokens)
    }
}
