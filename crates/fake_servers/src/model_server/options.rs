//! The models, the limits and the speed of a fake model server.

use std::time::Duration;

use crate::load_reports::ReportTiming;

/// The options of a server, which are fixed when it starts.
#[derive(Clone, Debug)]
pub struct ServerOptions {
    /// The server's name in the request log.
    pub name: String,
    /// The base models that the server offers.
    pub models: Vec<String>,
    /// The adapters that the server offers. Each is loaded on first use.
    pub adapters: Vec<Adapter>,
    /// Time to load an adapter.
    pub adapter_load_time: Duration,
    /// Maximum number of concurrent requests; the server rejects further requests.
    pub max_concurrent_requests: usize,
    /// Time to the first token.
    pub first_token_delay: Duration,
    /// Time that each uncached prompt token adds to the time to the first token. The server
    /// prefills one prompt at a time and caches the prompt of each session. If this is zero,
    /// prefilling takes no time and no prompt is cached.
    pub prefill_time_per_token: Duration,
    /// Time between two tokens.
    pub token_interval: Duration,
    /// Number of tokens in an answer, unless the request's `max_tokens` is lower.
    pub answer_tokens: u64,
    /// Whether the server answers `GET /v1/models`.
    pub lists_models: bool,
    /// How often the server's load is measured, and how late and how exactly it is reported.
    pub report_timing: ReportTiming,
}

/// An adapter of a model.
#[derive(Clone, Debug)]
pub struct Adapter {
    /// The name that requests use.
    pub name: String,
    /// The base model that the adapter extends.
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
            report_timing: ReportTiming::default(),
        }
    }
}

impl ServerOptions {
    /// The base model that serves the model or adapter of this name; `None` if the name is unknown.
    pub(super) fn base_model<'a>(&'a self, model: &'a str) -> Option<&'a str> {
        let adapter = self.adapter(model);
        let base_model = adapter.map_or(model, |adapter| &adapter.base_model);
        let offered = self.models.iter().any(|offered| offered == base_model);
        offered.then_some(base_model)
    }

    /// The adapter with this name.
    pub(super) fn adapter(&self, name: &str) -> Option<&Adapter> {
        self.adapters.iter().find(|adapter| adapter.name == name)
    }
}
