//! Errors in the configuration of a catalog. Operators read their texts.

use thiserror::Error;

use crate::routing::{MAX_ALIASES, MAX_FALLBACK_CHAIN, MAX_MODELS};
use crate::spend::MAX_TOKEN_PRICE;

/// An entry of the configuration that is not valid, by its index among the entries of its kind.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum CatalogError {
    /// A model entry.
    #[error("model entry {index} is not valid")]
    Model {
        /// The index of the entry.
        index: usize,
        /// Why the entry is not valid.
        #[source]
        problem: ModelProblem,
    },
    /// An alias entry.
    #[error("alias entry {index} is not valid")]
    Alias {
        /// The index of the entry.
        index: usize,
        /// Why the entry is not valid.
        #[source]
        problem: AliasProblem,
    },
    /// A price entry.
    #[error("price entry {index} is not valid")]
    Price {
        /// The index of the entry.
        index: usize,
        /// Why the entry is not valid.
        #[source]
        problem: PriceProblem,
    },
}

/// Why a model entry is not valid.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum ModelProblem {
    /// There are more than [`MAX_MODELS`] models.
    #[error("more than {MAX_MODELS} models")]
    TooManyModels,
    /// The name is empty, too long or has characters that are not allowed.
    #[error(
        "{0:?} is not a name of 1 to 128 printable ASCII characters without quotes or backslashes"
    )]
    InvalidName(String),
    /// `max_output_tokens` (`max_answer` in the configuration file) is zero or larger than the
    /// context window.
    #[error("{0}: max_answer must be at least 1 and at most the context window")]
    InvalidWindow(String),
    /// An earlier model has the same name.
    #[error("model {0:?} is listed twice")]
    DuplicateName(String),
    /// There have been more than [`MAX_MODEL_NUMBERS`](crate::routing::MAX_MODEL_NUMBERS) different
    /// model names over all reloads.
    #[error("too many different model names over all reloads; restart the router")]
    NoNumberLeft,
    /// The base is an adapter itself, or the model is its own base.
    #[error("{model}: its base {base:?} is an adapter itself")]
    BaseIsAdapter {
        /// The name of the adapter.
        model: String,
        /// The name of the base.
        base: String,
    },
    /// There is no model with the name of the base.
    #[error("{model}: its base {base:?} is no model")]
    UnknownBase {
        /// The name of the adapter.
        model: String,
        /// The name of the base.
        base: String,
    },
    /// The model has a load time but is not an adapter.
    #[error("{0}: only an adapter can have a load time, and this model names no base")]
    LoadTimeWithoutBase(String),
    /// There is no model with the name of the fallback.
    #[error("{model}: its fallback {fallback:?} is no model")]
    UnknownFallback {
        /// The name of the model in the chain that names the fallback.
        model: String,
        /// The name of the fallback.
        fallback: String,
    },
    /// The fallback chain has a cycle.
    #[error("{model}: its fallback chain comes back to {fallback:?}")]
    FallbackCycle {
        /// The name of the model.
        model: String,
        /// The name that is in the chain twice.
        fallback: String,
    },
    /// The fallback chain has more than [`MAX_FALLBACK_CHAIN`] models.
    #[error("{0}: its fallback chain has more than {MAX_FALLBACK_CHAIN} models")]
    ChainTooLong(String),
}

/// Why an alias entry is not valid.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum AliasProblem {
    /// The name is not valid, or there are more than [`MAX_ALIASES`] aliases.
    #[error("{0:?}: not a valid name, or more than {MAX_ALIASES} aliases")]
    InvalidOrTooMany(String),
    /// The alias names something other than a model, such as another alias.
    #[error("alias {alias:?} leads to {model:?}, which is not a model")]
    UnknownModel {
        /// The alias.
        alias: String,
        /// The name that the alias is configured for.
        model: String,
    },
    /// A model or another alias has the same name.
    #[error("{0:?} is already the name of a model or an alias")]
    NameTaken(String),
}

/// Why a price entry is not valid.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum PriceProblem {
    /// There is no model with the name.
    #[error("there is no model {0:?}")]
    UnknownModel(String),
    /// An earlier price is for the same model.
    #[error("model {0:?} has two prices")]
    DuplicatePrice(String),
    /// The price is above [`MAX_TOKEN_PRICE`].
    #[error("{0}: the price of a token must be at most {MAX_TOKEN_PRICE}")]
    TooHigh(String),
}
