//! Routing: which model a chat request goes to, and which is next.
//!
//! A [`Catalog`] has the models, their adapters, aliases and fallback chains, and is validated
//! completely. A [`ModelInventory`] knows which host has which models, from the endpoint list and
//! from the hosts themselves. [`FirstTokenEstimates`] measures how long each model takes to its
//! first token. A [`Route`] takes one request along the fallback chain of its model: one
//! [`Submission`] to the decision module at a time.
//!
//! All submissions of a request together have no more call attempts than are allowed, no two of
//! them run at once, and one deadline holds for all of them. A route never uses a model whose
//! context window does not hold the prompt, or one that the caller may not use. A route keeps the
//! chain and the prices that it began with over a reload.
//!
//! The module does no I/O and reads no clock: time is a value. It does not choose the server of a
//! submission, does not retry an attempt within one, and rejects nothing that the decision module
//! would serve: those stay with [`Balancer`](crate::Balancer).

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

/// The most models of a catalog, adapters included.
pub const MAX_MODELS: usize = 1024;
/// The most aliases of a catalog.
pub const MAX_ALIASES: usize = 1024;
/// The most names that the models may have over all reloads.
pub const MAX_MODEL_NUMBERS: u32 = 16_384;
/// The most models of a fallback chain, the preferred one included.
pub const MAX_FALLBACK_CHAIN: usize = 8;
