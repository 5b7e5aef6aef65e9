//! Routing: which model an RPC goes to, and which is next.
//!
//! A [`Catalog`] names the models, their adapters, aliases and fallback chains, and is checked
//! whole. [`ModelInventory`] knows which host has what, from the list and from the hosts themselves.
//! [`FirstTokenEstimates`] measures how long each model takes to its first token. A [`Route`] takes one RPC along
//! its model's chain: one leg at a time, each a submission to the decision module.
//!
//! **What it promises.** Over all legs of an RPC no more call attempts than allowed, no leg beside
//! another, one deadline that shrinks by the time spent; no model whose window does not hold the
//! prompt, and none that the asker may not use; the chain and price that a route began with stay
//! its own over a reload.
//!
//! **What it never does.** No I/O, no clock: time is a value. It does not pick a server, does not
//! decide whether an attempt of a leg is made again, and turns nothing away that the module would
//! serve: those stay with [`Balancer`](crate::Balancer).

mod catalog;
mod first_token_estimates;
mod model_inventory;
mod route;

pub use catalog::{Catalog, CatalogError, Model, ModelNumbers, ModelSpec, Named};
pub use first_token_estimates::FirstTokenEstimates;
pub use model_inventory::{InventoryMismatch, ModelInventory};
pub use route::{
    ChatQuery, Route, RouteError, RouteExhausted, RouteStep, Submission, SubmissionEnd,
};

/// Models at the most, adapters too.
pub const MAX_MODELS: usize = 1024;
/// Aliases at the most.
pub const MAX_ALIASES: usize = 1024;
/// Names that models had over all reloads, at the most.
pub const MAX_MODEL_NUMBERS: u32 = 16_384;
/// Models of a chain at the most, the preferred one too.
pub const MAX_FALLBACK_CHAIN: usize = 8;
