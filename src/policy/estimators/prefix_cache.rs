//! Hit rates of prefix caches: the fraction of the tokens estimated as cached that were found
//! cached. `cache_affinity` decides which replicas may have a prompt cached.

use super::running_mean;

/// Weight of a new answer in [`PrefixCacheModel::session_hit_rate`]: about the last eight count.
/// The number is small because one of hundreds of routers makes only about thirty attempts a day
/// (docs/design/placement.md).
const SESSION_SAMPLE_WEIGHT: f64 = 1.0 / 8.0;
/// Weight of a new answer in the hit rate of a [`CacheReason`]: about the last 64 count.
const REASON_SAMPLE_WEIGHT: f64 = 1.0 / 64.0;
/// [`PrefixCacheModel::session_hit_rate`] before the first answer, from 0 to 1
/// (docs/design/placement.md).
const INITIAL_SESSION_HIT_RATE: f64 = 0.25;

/// Why a replica may have a prompt, or a prefix of it, cached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheReason {
    /// Another router may have sent the prompt's shared prefix to the replica.
    SharedPrefix,
    /// This router sent the prompt's shared prefix to the replica.
    SentPrefix,
    /// The replica is the session's home, to which other routers send its turns.
    SessionHome,
    /// This router sent the session's last turn to the replica.
    LastTurn,
}

/// An expectation that a replica has the first tokens of a prompt cached.
#[derive(Clone, Copy, Debug)]
pub struct CacheEstimate {
    /// Why the tokens may be cached.
    pub reason: CacheReason,
    /// Number of tokens, before the reason's hit rate is applied.
    pub tokens: f64,
}

/// The cached tokens that an answer reported for its prompt.
#[derive(Clone, Copy, Debug)]
pub struct CacheSample {
    /// Number of prompt tokens.
    pub prompt_tokens: u32,
    /// Number of tokens at the start of the prompt that are shared with other sessions.
    pub shared_prefix_tokens: u32,
    /// Number of prompt tokens that were found cached.
    pub cached_tokens: u32,
}

/// Running means of the fraction of estimated tokens that were found cached.
#[derive(Clone, Copy, Debug)]
pub struct PrefixCacheModel {
    /// The hit rate of each [`CacheReason`], in the order of its variants.
    hit_rates: [f64; 4],
    session_hit_rate: f64,
}

impl Default for PrefixCacheModel {
    fn default() -> PrefixCacheModel {
        PrefixCacheModel {
            hit_rates: [0.0, 1.0, 1.0, 1.0],
            session_hit_rate: INITIAL_SESSION_HIT_RATE,
        }
    }
}

impl PrefixCacheModel {
    /// Expected number of cached tokens.
    pub fn expected_tokens(&self, estimate: CacheEstimate) -> f64 {
        self.hit_rates[estimate.reason as usize] * estimate.tokens
    }

    /// The fraction of a prompt beyond its shared prefix that is found cached at the session's last
    /// replica or home replica. It is near 0 if sessions have one turn; then all replicas serve a
    /// session equally well.
    pub fn session_hit_rate(&self) -> f64 {
        self.session_hit_rate
    }

    /// Records the cached tokens that an answer reported; `estimate` is what was expected.
    pub fn record(&mut self, estimate: CacheEstimate, sample: CacheSample) {
        let CacheEstimate { reason, tokens } = estimate;
        let CacheSample {
            prompt_tokens,
            shared_prefix_tokens,
            cached_tokens,
        } = sample;
        // Caches evict and replicas restart, so a hit rate can fall although nothing was sent.
        if tokens > 0.0 {
            let hit_rate = (f64::from(cached_tokens) / tokens).min(1.0);
            running_mean::update(
                &mut self.hit_rates[reason as usize],
                hit_rate,
                REASON_SAMPLE_WEIGHT,
            );
        }
        let by_session = matches!(reason, CacheReason::SessionHome | CacheReason::LastTurn);
        if by_session && prompt_tokens > shared_prefix_tokens {
            let cached_after_prefix = f64::from(cached_tokens.saturating_sub(shared_prefix_tokens));
            let hit_rate = cached_after_prefix / f64::from(prompt_tokens - shared_prefix_tokens);
            running_mean::update(
                &mut self.session_hit_rate,
                hit_rate.min(1.0),
                SESSION_SAMPLE_WEIGHT,
            );
        }
    }
}

#[cfg(test)]
mod tests;
