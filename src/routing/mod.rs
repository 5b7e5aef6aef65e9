//! Routing: selects the model that serves a chat request, and the fallback models after it.
//!
//! A [`Catalog`] contains the configured models, adapters, aliases and fallback chains, all of them
//! validated. A [`ModelInventory`] records which model server has which models, from the endpoint
//! list and from the model servers' own reports. [`FirstTokenEstimates`] estimates each model's
//! time to its first token from measurements. A [`Route`] takes one request along the fallback
//! chain of its model: it makes one [`Submission`] to the decision module at a time.
//!
//! All submissions of a request share one limit of call attempts and one deadline, and no two of
//! them run at once. A route never uses a model whose context window is too small for the prompt,
//! nor a model that the caller may not use. After a reload, a route continues with the chain and
//! the prices with which it started.
//!
//! The module does no I/O and reads no clock: the current time is a parameter.
//! [`Balancer`](crate::Balancer) chooses the replica of a submission and retries attempts within a
//! submission. Routing rejects nothing that the decision module would serve.

mod catalog;
mod first_token_estimates;
mod model_inventory;
mod route;

pub use catalog::{
    AliasProblem, AliasSpec, Catalog, CatalogError, Model, ModelNumbers, ModelProblem, ModelSpec,
    PriceProblem, PriceSpec,
};
pub use first_token_estimates::FirstTokenEstimates;
pub use model_inventory::{InventoryMismatch, ModelInventory, ReportOutcome};
pub use route::{
    ChatQuery, Route, RouteError, RouteExhausted, RouteStep, Submission, SubmissionEnd,
};

/// The maximum number of models in a catalog, adapters included.
pub const MAX_MODELS: usize = 1024;
/// The maximum number of aliases in a catalog.
pub const MAX_ALIASES: usize = 1024;
/// The maximum number of different model names over all reloads.
pub const MAX_MODEL_NUMBERS: u32 = 16_384;
/// The maximum number of models in a fallback chain, the preferred model included.
pub const MAX_FALLBACK_CHAIN: usize = 8;
