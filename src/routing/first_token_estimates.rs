//! How long each model takes from a leg's start to its first token: a line over the prompt's length
//! and its deviation, from what was measured lately.

use rustc_hash::FxHashMap;

use crate::interface::{Span, Timestamp};
use crate::policy::{LinearFit, LinearModel};

/// Weight of a new sample: about the last 16 count.
const NEW: f64 = 1.0 / 16.0;
/// A need is the line and so many mean deviations above it (as RFC 6298 has it for retransmission
/// times).
const DEVIATIONS: f64 = 4.0;
/// What was measured fades to a part of 1/e in so long. Guards against a model that is never tried
/// again because it once was slow.
const FADE: f64 = 20.0;

#[derive(Clone, Copy, Debug, Default)]
struct Need {
    fit: LinearFit,
    mid: f64,
    line: LinearModel,
    deviation: f64,
    at: Timestamp,
    seen: bool,
}

/// The needs of all models, by their numbers.
#[derive(Clone, Debug, Default)]
pub struct FirstTokenEstimates {
    all: FxHashMap<u32, Need>,
    first: Span,
}

impl FirstTokenEstimates {
    /// Nothing measured yet: until then `first` stands in, the classes' shortest first-token aim.
    pub fn new(first: Span) -> FirstTokenEstimates {
        FirstTokenEstimates {
            all: FxHashMap::default(),
            first,
        }
    }

    /// A first token came `took` after its leg's start.
    pub fn record(&mut self, model: u32, prompt: u32, took: Span, now: Timestamp) {
        // bounded by the models' numbers
        let need = self.all.entry(model).or_default();
        let (x, y) = (f64::from(prompt), took.as_secs_f64());
        if need.seen {
            need.deviation += ((y - need.line.seconds(x)).abs() - need.deviation) * NEW;
            need.mid += (x - need.mid) * NEW;
        } else {
            (need.deviation, need.mid) = (y / 2.0, x.max(1.0));
        }
        let prior = if need.seen {
            need.line
        } else {
            LinearModel {
                seconds_per_token: 0.0,
                base_seconds: y,
            }
        };
        need.fit.record(x, y, NEW);
        need.line = need.fit.model(prior, need.mid);
        (need.at, need.seen) = (now, true);
    }

    /// A leg ended without a first token after so long, though servers had it: the need is at least
    /// that.
    pub fn record_unanswered(&mut self, model: u32, prompt: u32, waited: Span, now: Timestamp) {
        if self.estimate(model, prompt, now) < waited {
            self.record(model, prompt, waited, now);
        }
    }

    /// The time that a model needs for its first token.
    pub fn estimate(&self, model: u32, prompt: u32, now: Timestamp) -> Span {
        let Some(need) = self.all.get(&model).filter(|n| n.seen) else {
            return self.first;
        };
        let keep = (-(now - need.at).as_secs_f64() / FADE).exp();
        let now = need.line.seconds(f64::from(prompt)) + DEVIATIONS * need.deviation;
        Span::from_secs_f64(now * keep)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_need_follows_what_was_measured_and_fades() {
        let mut estimates = FirstTokenEstimates::new(Span::from_millis(400));
        assert_eq!(
            estimates.estimate(0, 100, Timestamp::ZERO),
            Span::from_millis(400)
        );
        for k in 0..200 {
            let prompt = 100 + 10 * (k % 50);
            estimates.record(
                0,
                prompt,
                Span::from_micros(50_000 + 100 * u64::from(prompt)),
                Timestamp::from_micros(u64::from(k) * 1000),
            );
        }
        let at = Timestamp::from_millis(200);
        let (short, long) = (
            estimates.estimate(0, 100, at).as_secs_f64(),
            estimates.estimate(0, 600, at).as_secs_f64(),
        );
        assert!(
            (0.055..0.09).contains(&short) && (0.105..0.14).contains(&long),
            "{short} {long}"
        );
        // the other model is none of its business, and an old measure fades
        assert_eq!(estimates.estimate(1, 100, at), Span::from_millis(400));
        assert!(
            estimates
                .estimate(0, 600, Timestamp::from_secs(60))
                .as_secs_f64()
                < long / 10.0
        );
    }

    #[test]
    fn what_never_comes_raises_the_need() {
        let mut estimates = FirstTokenEstimates::new(Span::from_millis(100));
        for k in 0..40 {
            estimates.record_unanswered(
                0,
                100,
                Span::from_millis(900),
                Timestamp::from_micros(k * 1000),
            );
        }
        assert!(estimates.estimate(0, 100, Timestamp::from_millis(40)) >= Span::from_millis(800));
        // a wait shorter than the need tells nothing
        let before = estimates.estimate(0, 100, Timestamp::from_millis(40));
        estimates.record_unanswered(0, 100, Span::from_millis(10), Timestamp::from_millis(40));
        assert_eq!(
            estimates.estimate(0, 100, Timestamp::from_millis(40)),
            before
        );
    }
}
