//! The catalog: the configured models and the names that lead to them.

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
    /// The number by which the decision module knows the model, from 1. A name has the same number
    /// in every catalog.
    pub number: u32,
    /// The index of the base model, where this one is an adapter.
    pub base: Option<usize>,
    /// How long a host that has only the base takes to load the adapter at its first use.
    pub load_time: Span,
    /// The most tokens of a prompt and its answer together.
    pub context_window: u32,
    /// The most tokens of an answer.
    pub max_output_tokens: u32,
    /// The service class of requests that name none.
    pub class: Option<String>,
    /// The price of its tokens.
    pub price: Price,
    /// The indices of the models of its fallback chain, its own first.
    pub fallback_chain: Vec<usize>,
}

impl Model {
    /// The most tokens of an answer to a prompt of this length; none where the context window does
    /// not hold the prompt and one token of an answer.
    pub fn max_output_for(&self, prompt_tokens: u32) -> Option<u32> {
        let remaining = self.context_window.checked_sub(prompt_tokens)?;
        (remaining > 0).then(|| remaining.min(self.max_output_tokens))
    }
}

/// All models, and the names that lead to them. A model is known by its index in the catalog.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Catalog {
    models: Vec<Model>,
    /// The indices of the models by their names and aliases.
    indices: FxHashMap<String, usize>,
}

impl Catalog {
    /// The index of a model by its name or an alias.
    pub fn find(&self, name: &str) -> Option<usize> {
        self.indices.get(name).copied()
    }

    /// The model of an index.
    pub fn model(&self, index: usize) -> &Model {
        &self.models[index]
    }

    /// All models, in the order of their indices.
    pub fn models(&self) -> &[Model] {
        &self.models
    }

    /// The aliases of a model in alphabetical order.
    pub fn aliases(&self, index: usize) -> Vec<&str> {
        let own_name = self.models[index].name.as_str();
        let mut aliases: Vec<&str> = Vec::new();
        for (name, &named) in &self.indices {
            if named == index && name != own_name {
                aliases.push(name);
            }
        }
        aliases.sort_unstable();
        aliases
    }
}
