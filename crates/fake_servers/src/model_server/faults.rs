//! Faults of a fake model server, and the state that changes while the server runs.

use std::collections::HashSet;
use std::time::Duration;

use tokio::time::Instant;

use super::prompt_cache::PromptCache;

/// A fault of a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// No fault.
    #[default]
    None,
    /// The server rejects every request before running it (503 with `X-Never-Ran`).
    Overloaded,
    /// The server answers with an error (500); the request may have run.
    InternalError,
    /// The server accepts requests and never answers.
    Hang,
    /// The server closes the connection after this number of tokens of each answer.
    BreakStreamAfter(u64),
    /// The server closes every connection immediately and has lost its adapters and cached prompts.
    Down,
}

/// A defect of a server's answers, which are complete in all other respects.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ResponseDefect {
    /// No defect.
    #[default]
    None,
    /// Answers contain no usage.
    MissingUsage,
    /// Answers report a usage of 2^63 tokens.
    ImplausibleUsage,
    /// Answers contain two usages, and the first one is too small.
    RepeatedUsage,
    /// Answers name a model other than the requested one.
    WrongModelName,
}

/// The state of a running server.
#[derive(Default)]
pub(super) struct ServerState {
    pub(super) fault: Fault,
    pub(super) defect: ResponseDefect,
    /// Names of the loaded adapters.
    pub(super) loaded_adapters: HashSet<String>,
    pub(super) prompt_cache: PromptCache,
    warm_up: Option<WarmUp>,
}

/// The period after a cold start in which first tokens are delayed.
struct WarmUp {
    until: Instant,
    /// Factor applied to the time to the first token.
    slowdown: u32,
}

impl ServerState {
    /// Sets the state after a restart: no fault, nothing loaded or cached, and delayed first tokens
    /// during the warm-up.
    pub(super) fn start_cold(&mut self, slowdown: u32, warm_up: Duration) {
        self.loaded_adapters.clear();
        self.prompt_cache.clear();
        self.fault = Fault::None;
        self.warm_up = Some(WarmUp {
            until: Instant::now() + warm_up,
            slowdown,
        });
    }

    /// The current factor for the time to the first token.
    pub(super) fn slowdown(&self) -> u32 {
        self.warm_up
            .as_ref()
            .filter(|warm_up| Instant::now() < warm_up.until)
            .map_or(1, |warm_up| warm_up.slowdown)
    }
}
