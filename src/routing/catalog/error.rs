//! The errors of a configuration that is no valid catalog. Their texts go to operators.

use thiserror::Error;

use crate::routing::{MAX_ALIASES, MAX_FALLBACK_CHAIN, MAX_MODELS};
use crate::spend::MAX_TOKEN_PRICE;

/// The entry of a configuration that is not valid, by its index among the entries of its kind.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum CatalogError {
    /// An entry of a model.
    #[error("model entry {index} is not valid")]
    Model {
        /// The index of the entry.
        index: usize,
        /// What is wrong with it.
        #[source]
        problem: ModelProblem,
    },
    /// An entry of an alias.
    #[error("alias entry {index} is not valid")]
    Alias {
        /// The index of the entry.
        index: usize,
        /// What is wrong with it.
        #[source]
        problem: AliasProblem,
    },
    /// An entry of a price.
    #[error("price entry {index} is not valid")]
    Price {
        /// The index of the entry.
        index: usize,
        /// What is wrong with it.
        #[source]
        problem: PriceProblem,
    },
}

/// Why the entry of a model is not valid.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum ModelProblem {
    /// There are more than [`MAX_MODELS`] models.
    #[error("over {MAX_MODELS} models")]
    TooManyModels,
    /// The name is empty, too long or has characters that are not allowed.
    #[error("{0:?} is no plain name of 1 to 128 characters")]
    InvalidName(String),
    /// The context window or the longest answer is zero, or the answer is longer than the window.
    #[error("{0}: the window must hold an answer, and an answer a token")]
    InvalidWindow(String),
    /// An earlier model has the same name.
    #[error("model {0:?} stands there twice")]
    DuplicateName(String),
    /// The models have had more than [`MAX_MODEL_NUMBERS`](crate::routing::MAX_MODEL_NUMBERS)
    /// names over all reloads.
    #[error("too many names over reloads: start anew")]
    NoNumberLeft,
    /// The base is an adapter itself, or the model is its own base.
    #[error("{model}: its base {base:?} is an adapter itself")]
    BaseIsAdapter {
        /// The name of the adapter.
        model: String,
        /// The name of its base.
        base: String,
    },
    /// There is no model with the name of the base.
    #[error("{model}: its base {base:?} is no model")]
    UnknownBase {
        /// The name of the adapter.
        model: String,
        /// The name of its base.
        base: String,
    },
    /// The model has a load time and is no adapter.
    #[error("{0}: only an adapter has a load time, and it names no base")]
    LoadTimeWithoutBase(String),
    /// There is no model with the name of the fallback.
    #[error("{model}: its fallback {fallback:?} is no model")]
    UnknownFallback {
        /// The name of the model of the chain that has the fallback.
        model: String,
        /// The name of its fallback.
        fallback: String,
    },
    /// The fallback chain has a cycle.
    #[error("{model}: its chain of fallbacks comes back to {fallback:?}")]
    FallbackCycle {
        /// The name of the model.
        model: String,
        /// The name that the chain has twice.
        fallback: String,
    },
    /// The fallback chain has more than [`MAX_FALLBACK_CHAIN`] models.
    #[error("{0}: its chain has over {MAX_FALLBACK_CHAIN} models")]
    ChainTooLong(String),
}

/// Why the entry of an alias is not valid.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum AliasProblem {
    /// The name is not allowed, or there are more than [`MAX_ALIASES`] aliases.
    #[error("{0:?}: no plain name, or over {MAX_ALIASES} aliases")]
    InvalidOrTooMany(String),
    /// The alias is for something that is no model, such as another alias.
    #[error("alias {alias:?} leads to {model:?}, which is no model")]
    UnknownModel {
        /// The alias.
        alias: String,
        /// The name that it is for.
        model: String,
    },
    /// A model or another alias has the name.
    #[error("{0:?} is taken already")]
    NameTaken(String),
}

/// Why the entry of a price is not valid.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum PriceProblem {
    /// There is no model with the name.
    #[error("no model {0:?}")]
    UnknownModel(String),
    /// An earlier price is for the same model.
    #[error("model {0:?} has two prices")]
    DuplicatePrice(String),
    /// The price is above [`MAX_TOKEN_PRICE`].
    #[error("{0}: a token costs {MAX_TOKEN_PRICE} at the most")]
    TooHigh(String),
}
