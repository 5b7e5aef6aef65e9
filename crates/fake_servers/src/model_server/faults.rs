//! Faults of a fake model server, and its state that changes while it runs.

use std::collections::HashSet;
use std::time::Duration;

use tokio::time::Instant;

use super::prompt_cache::PromptCache;

/// What a server does wrong.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// Nothing.
    #[default]
    None,
    /// It rejects every request before it runs (503 with `X-Never-Ran`).
    Overloaded,
    /// It answers with an error (500); the request may have run.
    InternalError,
    /// It accepts requests and never answers.
    Hang,
    /// It breaks each answer off after this number of tokens.
    BreakStreamAfter(u64),
    /// It closes every connection at once, and has lost what it had loaded.
    Down,
}

/// What is wrong with a server's answers, which are otherwise complete.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ResponseDefect {
    /// Nothing.
    #[default]
    None,
    /// They have no usage.
    MissingUsage,
    /// Their usage is 2^63 tokens.
    ImplausibleUsage,
    /// They have two usages, the first too small.
    RepeatedUsage,
    /// They name another model.
    WrongModelName,
}

/// The state of a running server.
#[derive(Default)]
pub(super) struct ServerState {
    pub(super) fault: Fault,
    pub(super) defect: ResponseDefect,
    /// Names of the adapters that are loaded.
    pub(super) loaded_adapters: HashSet<String>,
    pub(super) prompt_cache: PromptCache,
    warm_up: Option<WarmUp>,
}

/// The time after a cold start, in which first tokens come late.
struct WarmUp {
    until: Instant,
    /// Multiplies the time to the first token.
    slowdown: u32,
}

impl ServerState {
    /// Begins anew after a restart: without faults, with nothing loaded, and slow for a while.
    pub(super) fn start_cold(&mut self, slowdown: u32, warm_up: Duration) {
        self.loaded_adapters.clear();
        self.prompt_cache.clear();
        self.fault = Fault::None;
        self.warm_up = Some(WarmUp {
            until: Instant::now() + warm_up,
            slowdown,
        });
    }

    /// What the time to the first token is multiplied by at present.
    pub(super) fn slowdown(&self) -> u32 {
        self.warm_up
            .as_ref()
            .filter(|warm_up| Instant::now() < warm_up.until)
            .map_or(1, |warm_up| warm_up.slowdown)
    }
}
