//! The configuration entries from which a catalog is built.

use crate::interface::Span;
use crate::spend::Price;

/// A configured model. [`Model`](super::Model) describes the fields.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ModelSpec {
    /// The name that clients ask for and model servers know.
    pub name: String,
    /// The name of the base model; `None` unless this model is an adapter.
    pub base: Option<String>,
    /// How long a model server that has only the base model takes to load the adapter; zero if the
    /// model is not an adapter.
    pub load_time: Span,
    /// The maximum number of prompt tokens and output tokens together.
    pub context_window: u32,
    /// The maximum number of output tokens.
    pub max_output_tokens: u32,
    /// The name of the next model in the fallback chain, which continues with that model's own
    /// fallback.
    pub fallback: Option<String>,
    /// The service class of requests that do not name a class.
    pub class: Option<String>,
}

/// A configured alias.
#[derive(Clone, Debug, PartialEq)]
pub struct AliasSpec {
    /// The alias.
    pub name: String,
    /// The name of the model; it must not be another alias.
    pub model: String,
}

/// The configured price of a model.
#[derive(Clone, Debug, PartialEq)]
pub struct PriceSpec {
    /// The name of the model.
    pub model: String,
    /// The price of the model's tokens.
    pub price: Price,
}
