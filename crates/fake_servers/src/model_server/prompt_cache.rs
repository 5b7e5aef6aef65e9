//! The prompt cache of a fake model server: how many tokens of each session's prompt it has
//! prefilled before.

use std::collections::HashMap;

/// Sessions that are kept; beyond that the cache is cleared, as by an eviction.
const MAX_SESSIONS: usize = 4096;

/// Prefilled prompt tokens by session.
#[derive(Default)]
pub(super) struct PromptCache(HashMap<String, u64>);

impl PromptCache {
    /// Tokens of a prompt of this length that are cached for a session.
    pub(super) fn cached_tokens(&self, session: &str, prompt_tokens: u64) -> u64 {
        self.0
            .get(session)
            .copied()
            .unwrap_or(0)
            .min(prompt_tokens.saturating_sub(1))
    }

    /// Keeps a session's prompt.
    pub(super) fn insert(&mut self, session: &str, prompt_tokens: u64) {
        if self.0.len() >= MAX_SESSIONS {
            self.0.clear();
        }
        self.0.insert(session.into(), prompt_tokens);
    }

    /// Forgets all prompts.
    pub(super) fn clear(&mut self) {
        self.0.clear();
    }
}
