//! The catalog: the configured models with their names and aliases.

mod build;
mod error;
mod model_numbers;
mod spec;

use rustc_hash::FxHashMap;

use crate::interface::Span;
use crate::spend::Price;

pub use error::{AliasProblem, CatalogError, ModelProblem, PriceProblem};
pub use model_numbers::ModelNumbers;
pub use spec::{AliasSpec, ModelSpec, PriceSpec};

/// A model of a catalog.
#[derive(Clone, Debug, PartialEq)]
pub struct Model {
    /// The name that clients ask for and model servers know.
    pub name: String,
    /// The number that identifies the model in the decision module, starting at 1. A name has the
    /// same number in every catalog.
    pub number: u32,
    /// The index of the base model; `None` unless this model is an adapter.
    pub base: Option<usize>,
    /// How long a model server that has only the base model takes to load the adapter at its first
    /// use.
    pub load_time: Span,
    /// The maximum number of prompt tokens and output tokens together.
    pub context_window: u32,
    /// The maximum number of output tokens.
    pub max_output_tokens: u32,
    /// The service class of requests that do not name a class.
    pub class: Option<String>,
    /// The price of the model's tokens.
    pub price: Price,
    /// The indices of the models in the fallback chain, starting with this model.
    pub fallback_chain: Vec<usize>,
}

impl Model {
    /// The maximum number of output tokens for a prompt of this length; `None` if the context
    /// window has no space for the prompt and one output token.
    pub fn max_output_for(&self, prompt_tokens: u32) -> Option<u32> {
        let remaining = self.context_window.checked_sub(prompt_tokens)?;
        (remaining > 0).then(|| remaining.min(self.max_output_tokens))
    }
}

/// All models, which can be found by name or alias. A model is identified by its index in the
/// catalog.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Catalog {
    models: Vec<Model>,
    /// The index of each model, by its name and by its aliases.
    indices: FxHashMap<String, usize>,
}

impl Catalog {
    /// Returns the index of the model with this name or alias.
    pub fn find(&self, name: &str) -> Option<usize> {
        self.indices.get(name).copied()
    }

    /// Returns the model at an index.
    pub fn model(&self, index: usize) -> &Model {
        &self.models[index]
    }

    /// Returns all models in the order of their indices.
    pub fn models(&self) -> &[Model] {
        &self.models
    }

    /// Returns the aliases of a model in alphabetical order.
    pub fn aliases(&self, index: usize) -> Vec<&str> {
        let own_name = self.models[index].name.as_str();
        let mut aliases: Vec<&str> = Vec::new();
        for (name, &model_index) in &self.indices {
            if model_index == index && name != own_name {
                aliases.push(name);
            }
        }
        aliases.sort_unstable();
        aliases
    }
}
