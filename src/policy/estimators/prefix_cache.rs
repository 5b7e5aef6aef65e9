//! Hit rates of prefix caches: how much of a prompt replicas have cached where that was estimated.
//! Where a prompt may be cached is decided in `cache_affinity`.

use super::running_mean;

/// Weight of a new answer in [`PrefixCacheModel::session_hit_rate`]: about the last eight count.
/// Value: a router of hundreds makes some thirty attempts a day (docs/design/placement.md).
const SESSION_SAMPLE_WEIGHT: f64 = 1.0 / 8.0;
/// Weight of a new answer in the hit rate of a [`CacheReason`]: about the last 64 count.
const REASON_SAMPLE_WEIGHT: f64 = 1.0 / 64.0;
/// [`PrefixCacheModel::session_hit_rate`] before the first answer, from 0 to 1.
/// Value: a design choice (docs/design/placement.md), soon replaced.
const INITIAL_SESSION_HIT_RATE: f64 = 0.25;

/// Why a replica may have a prompt, or a prefix of it, cached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheReason {
    /// Another router may have sent its shared prefix there.
    SharedPrefix,
    /// This router sent its shared prefix there.
    SentPrefix,
    /// Other routers send the session's turns to its home replica.
    SessionHome,
    /// This router sent the session's last turn there.
    LastTurn,
}

/// An expectation that a replica has the first tokens of a prompt cached.
#[derive(Clone, Copy, Debug)]
pub struct CacheEstimate {
    /// Why.
    pub reason: CacheReason,
    /// How many tokens, before the reason's hit rate is applied.
    pub tokens: f64,
}

/// What an answer reported of a prompt.
#[derive(Clone, Copy, Debug)]
pub struct CacheSample {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// How many of them, from the first on, are a prefix that it shares with other sessions.
    pub shared_prefix_tokens: u32,
    /// How many of them were found cached.
    pub cached_tokens: u32,
}

/// Running means of the fraction of estimated tokens that were found cached.
#[derive(Clone, Copy, Debug)]
pub struct PrefixCacheModel {
    /// The hit rate of each [`CacheReason`], indexed by it.
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
    /// Tokens that are likely cached.
    pub fn expected_tokens(&self, estimate: CacheEstimate) -> f64 {
        self.hit_rates[estimate.reason as usize] * estimate.tokens
    }

    /// The fraction of a prompt beyond its shared prefix that is found cached at the session's last
    /// replica or home. Near 0 where sessions have one turn, and any replica does as well as
    /// another.
    pub fn session_hit_rate(&self) -> f64 {
        self.session_hit_rate
    }

    /// Records what an answer reported as cached, where `estimate` was expected.
    pub fn record(&mut self, estimate: CacheEstimate, sample: CacheSample) {
        let CacheEstimate { reason, tokens } = estimate;
        let CacheSample {
            prompt_tokens,
            shared_prefix_tokens,
            cached_tokens,
        } = sample;
        // a cache evicts and replicas restart, so a hit rate falls without any send
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
            let own_cached = f64::from(cached_tokens.saturating_sub(shared_prefix_tokens));
            let own = own_cached / f64::from(prompt_tokens - shared_prefix_tokens);
            running_mean::update(
                &mut self.session_hit_rate,
                own.min(1.0),
                SESSION_SAMPLE_WEIGHT,
            );
        }
    }
}

#[cfg(test)]
mod tests;
