//! The prompt cache of a fake model server: the number of tokens of each session's prompt, and of
//! each shared prefix, that the server has already prefilled.

use std::collections::HashMap;

/// Maximum number of cached sessions. When it is reached, the cache is cleared, which simulates an
/// eviction.
const MAX_SESSIONS: usize = 4096;

/// Prefilled tokens by session or shared prefix.
#[derive(Default)]
pub(super) struct PromptCache(HashMap<String, u64>);

impl PromptCache {
    /// Number of cached tokens in a session's prompt of this length. The last token never counts as
    /// cached.
    pub(super) fn cached_tokens(&self, session: &str, prompt_tokens: u64) -> u64 {
        self.0
            .get(session)
            .copied()
            .unwrap_or(0)
            .min(prompt_tokens.saturating_sub(1))
    }

    /// Caches a session's prompt.
    pub(super) fn insert(&mut self, session: &str, prompt_tokens: u64) {
        if self.0.len() >= MAX_SESSIONS {
            self.0.clear();
        }
        self.0.insert(session.into(), prompt_tokens);
    }

    /// Removes all prompts.
    pub(super) fn clear(&mut self) {
        self.0.clear();
    }
}
