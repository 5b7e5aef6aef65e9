//! The recent rate of missed first tokens.

/// The time in which the weight of an outcome decays to 1/e, in multiples of the shortest
/// first-token objective. It is the time in which the admitted fraction grows back, so that misses
/// are forgotten as soon as their effect has ended, at any rate of requests.
const DECAY_OBJECTIVES: f64 = super::RECOVERY_OBJECTIVES;
/// Number of outcomes in time that are added to the recorded ones. It limits the effect of single
/// misses at a router that gets few requests.
const PRIOR_OUTCOMES: f64 = 16.0;

/// Decaying sums of outcomes.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct MissRate {
    missed: f64,
    outcomes: f64,
}

impl MissRate {
    /// Records an outcome, `objectives` shortest objectives after the last one. `miss_weight` is 0
    /// for a first token in time, and up to 1 for a miss.
    pub(super) fn record(&mut self, miss_weight: f64, objectives: f64) {
        let remaining = (-objectives / DECAY_OBJECTIVES).exp();
        self.missed = self.missed * remaining + miss_weight;
        self.outcomes = self.outcomes * remaining + 1.0;
    }

    /// The weighted fraction of missed first tokens, from 0 to 1.
    pub(super) fn rate(&self) -> f64 {
        self.missed / (self.outcomes + PRIOR_OUTCOMES)
    }
}

#[cfg(test)]
mod tests;
