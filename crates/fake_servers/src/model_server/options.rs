//! What a fake model server offers and how fast it is.

use std::time::Duration;

/// The properties of a server, fixed at its start.
#[derive(Clone, Debug)]
pub struct ServerOptions {
    /// Its name in the request log.
    pub name: String,
    /// The base models that it offers.
    pub models: Vec<String>,
    /// The adapters that it offers. Each is loaded at its first use.
    pub adapters: Vec<Adapter>,
    /// The time that loading an adapter takes.
    pub adapter_load_time: Duration,
    /// The most requests at once; it rejects further ones.
    pub max_concurrent_requests: usize,
    /// Time to the first token.
    pub first_token_delay: Duration,
    /// Time that a prompt token which isn't cached adds to the time to the first token. The server
    /// prefills one prompt at a time, and caches each session's. Zero: no prompt takes any time,
    /// and none is cached.
    pub prefill_time_per_token: Duration,
    /// Time between two tokens.
    pub token_interval: Duration,
    /// Tokens of an answer, unless the request's `max_tokens` is lower.
    pub answer_tokens: u64,
    /// Whether it answers `GET /v1/models`.
    pub lists_models: bool,
}

/// An adapter of a model.
#[derive(Clone, Debug)]
pub struct Adapter {
    /// The name that requests use.
    pub name: String,
    /// The base model that it needs.
    pub base_model: String,
}

impl Default for ServerOptions {
    fn default() -> ServerOptions {
        ServerOptions {
            name: "server".into(),
            models: vec!["hint".into()],
            adapters: Vec::new(),
            adapter_load_time: Duration::from_millis(200),
            max_concurrent_requests: 64,
            first_token_delay: Duration::from_millis(2),
            prefill_time_per_token: Duration::ZERO,
            token_interval: Duration::ZERO,
            answer_tokens: 10,
            lists_models: true,
        }
    }
}

impl ServerOptions {
    /// The base model that serves a model or adapter of this name; `None` for one that is unknown.
    pub(super) fn base_model<'a>(&'a self, model: &'a str) -> Option<&'a str> {
        let adapter = self.adapter(model);
        let base_model = adapter.map_or(model, |adapter| &adapter.base_model);
        let offered = self.models.iter().any(|offered| offered == base_model);
        offered.then_some(base_model)
    }

    /// The adapter of this name.
    pub(super) fn adapter(&self, name: &str) -> Option<&Adapter> {
        self.adapters.iter().find(|adapter| adapter.name == name)
    }
}
