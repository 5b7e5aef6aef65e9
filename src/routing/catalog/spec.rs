//! The entries of the configuration that a catalog is built from.

use crate::interface::Span;
use crate::spend::Price;

/// A model as it is configured. [`Model`](super::Model) describes the fields.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ModelSpec {
    /// The name that clients ask for and model servers know.
    pub name: String,
    /// The name of the base model, where this one is an adapter.
    pub base: Option<String>,
    /// How long a host that has only the base takes to load the adapter; zero without a base.
    pub load_time: Span,
    /// The most tokens of a prompt and its answer together.
    pub context_window: u32,
    /// The most tokens of an answer.
    pub max_output_tokens: u32,
    /// The name of the next model of the fallback chain; that model's own fallback follows it.
    pub fallback: Option<String>,
    /// The service class of requests that name none.
    pub class: Option<String>,
}

/// An alias as it is configured.
#[derive(Clone, Debug, PartialEq)]
pub struct AliasSpec {
    /// The alias.
    pub name: String,
    /// The name of the model; not another alias.
    pub model: String,
}

/// The price of a model as it is configured.
#[derive(Clone, Debug, PartialEq)]
pub struct PriceSpec {
    /// The name of the model.
    pub model: String,
    /// The price of its tokens.
    pub price: Price,
}
