//! The models as they are configured: checked whole, or refused with the entry that is wrong.

use rustc_hash::FxHashMap;

use super::{MAX_ALIASES, MAX_FALLBACK_CHAIN, MAX_MODEL_NUMBERS, MAX_MODELS};
use crate::interface::Span;
use crate::spend::{MAX_TOKEN_PRICE, Price};

/// A model as it is written down.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ModelSpec {
    /// Its name, which clients ask for and model servers know.
    pub name: String,
    /// The model that it is an adapter of.
    pub base: Option<String>,
    /// What the first use on a host costs that has only the base.
    pub load_time: Span,
    /// Tokens that prompt and answer may hold together.
    pub context_window: u32,
    /// Tokens that an answer may have.
    pub max_output_tokens: u32,
    /// The model to fall back to; its own fallback follows it.
    pub fallback: Option<String>,
    /// The class of its RPCs, where they name none.
    pub class: Option<String>,
}

/// A name and what it stands for: an alias and its model, or a model and its price.
#[derive(Clone, Debug, PartialEq)]
pub struct Named<T> {
    /// The name.
    pub name: String,
    /// What it stands for.
    pub value: T,
}

/// Which entry is wrong, and how.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CatalogError {
    /// A model, by its place in the list.
    Model(usize, String),
    /// An alias.
    Alias(usize, String),
    /// A price.
    Price(usize, String),
}

/// The models' numbers, which the decision module goes by. A name keeps its number over reloads, so
/// that what is under way means the same model before and after.
#[derive(Clone, Debug, Default)]
pub struct ModelNumbers(FxHashMap<String, u32>);

impl ModelNumbers {
    /// The number of a name, a new one where it has none; none once there are too many.
    fn assign(&mut self, name: &str) -> Option<u32> {
        let next = self.0.len() as u32 + 1;
        match self.0.get(name) {
            Some(&number) => Some(number),
            None if next <= MAX_MODEL_NUMBERS => {
                self.0.insert(name.to_string(), next);
                Some(next)
            }
            None => None,
        }
    }
}

/// A model in force.
#[derive(Clone, Debug, PartialEq)]
pub struct Model {
    /// Its name.
    pub name: String,
    /// Its number, from 1; the same for this name in every catalog.
    pub number: u32,
    /// The place of the model that it is an adapter of.
    pub base: Option<usize>,
    /// What the first use on a host costs that has only the base.
    pub load_time: Span,
    /// Tokens that prompt and answer may hold together.
    pub context_window: u32,
    /// Tokens that an answer may have.
    pub max_output_tokens: u32,
    /// The class of its RPCs, where they name none.
    pub class: Option<String>,
    /// What its tokens cost.
    pub price: Price,
    /// The places of the models of its chain, itself first.
    pub fallback_chain: Vec<usize>,
}

impl Model {
    /// The most tokens that an answer to so long a prompt may have; none where the window doesn't
    /// hold the prompt and one token of an answer.
    pub fn max_output_for(&self, prompt: u32) -> Option<u32> {
        self.context_window
            .checked_sub(prompt)
            .filter(|&left| left > 0)
            .map(|left| left.min(self.max_output_tokens))
    }
}

/// All models, and the names that lead to them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Catalog {
    models: Vec<Model>,
    names: FxHashMap<String, usize>,
}

impl Catalog {
    /// Checks and joins what was written down.
    pub fn build(
        specs: &[ModelSpec],
        aliases: &[Named<String>],
        prices: &[Named<Price>],
        numbers: &mut ModelNumbers,
    ) -> Result<Catalog, CatalogError> {
        let mut catalog = Catalog::default();
        for (k, spec) in specs.iter().enumerate() {
            let fault = |what: String| Err(CatalogError::Model(k, what));
            if k >= MAX_MODELS {
                return fault(format!("over {MAX_MODELS} models"));
            }
            if !plain(&spec.name) {
                return fault(format!(
                    "{:?} is no plain name of 1 to 128 characters",
                    spec.name
                ));
            }
            if spec.context_window == 0
                || spec.max_output_tokens == 0
                || spec.max_output_tokens > spec.context_window
            {
                return fault(format!(
                    "{}: the window must hold an answer, and an answer a token",
                    spec.name
                ));
            }
            if catalog.names.insert(spec.name.clone(), k).is_some() {
                return fault(format!("model {:?} stands there twice", spec.name));
            }
        }
        for (k, spec) in specs.iter().enumerate() {
            let fault = |what| CatalogError::Model(k, what);
            let number = numbers.assign(&spec.name);
            let number =
                number.ok_or_else(|| fault("too many names over reloads: start anew".into()))?;
            catalog
                .models
                .push(catalog.join(k, number, spec, specs).map_err(fault)?);
        }
        let mut priced = vec![false; specs.len()];
        for (k, Named { name, value }) in prices.iter().enumerate() {
            let fault = |what: String| Err(CatalogError::Price(k, what));
            let Some(&at) = catalog.names.get(name) else {
                return fault(format!("no model {name:?}"));
            };
            if std::mem::replace(&mut priced[at], true) {
                return fault(format!("model {name:?} has two prices"));
            }
            if value.per_prompt_token.max(value.per_output_token) > MAX_TOKEN_PRICE {
                return fault(format!(
                    "{name}: a token costs {MAX_TOKEN_PRICE} at the most"
                ));
            }
            catalog.models[at].price = *value;
        }
        let models = catalog.names.clone();
        for (k, Named { name, value }) in aliases.iter().enumerate() {
            let fault = |what: String| Err(CatalogError::Alias(k, what));
            if k >= MAX_ALIASES || !plain(name) {
                return fault(format!(
                    "{name:?}: no plain name, or over {MAX_ALIASES} aliases"
                ));
            }
            // an alias of an alias is none: guards against cycles by having nothing to follow
            let Some(&at) = models.get(value) else {
                return fault(format!(
                    "alias {name:?} leads to {value:?}, which is no model"
                ));
            };
            if catalog.names.insert(name.clone(), at).is_some() {
                return fault(format!("{name:?} is taken already"));
            }
        }
        Ok(catalog)
    }

    fn join(
        &self,
        k: usize,
        number: u32,
        spec: &ModelSpec,
        specs: &[ModelSpec],
    ) -> Result<Model, String> {
        let name = &spec.name;
        let base = match &spec.base {
            None => None,
            Some(base) => match self.names.get(base) {
                Some(&at) if specs[at].base.is_none() && at != k => Some(at),
                Some(_) => return Err(format!("{name}: its base {base:?} is an adapter itself")),
                None => return Err(format!("{name}: its base {base:?} is no model")),
            },
        };
        if base.is_none() && spec.load_time.as_micros() > 0 {
            return Err(format!(
                "{name}: only an adapter has a load time, and it names no base"
            ));
        }
        let mut chain = vec![k];
        let mut last = spec;
        while let Some(next) = &last.fallback {
            let Some(&at) = self.names.get(next) else {
                return Err(format!("{}: its fallback {next:?} is no model", last.name));
            };
            if chain.contains(&at) {
                return Err(format!(
                    "{name}: its chain of fallbacks comes back to {next:?}"
                ));
            }
            if chain.len() >= MAX_FALLBACK_CHAIN {
                return Err(format!(
                    "{name}: its chain has over {MAX_FALLBACK_CHAIN} models"
                ));
            }
            chain.push(at);
            last = &specs[at];
        }
        Ok(Model {
            name: name.clone(),
            number,
            base,
            load_time: spec.load_time,
            context_window: spec.context_window,
            max_output_tokens: spec.max_output_tokens,
            class: spec.class.clone(),
            price: Price::default(),
            fallback_chain: chain,
        })
    }

    /// The place of a model by its name or an alias.
    pub fn find(&self, name: &str) -> Option<usize> {
        self.names.get(name).copied()
    }

    /// A model by its place.
    pub fn model(&self, at: usize) -> &Model {
        &self.models[at]
    }

    /// All models, in the order in which they stand.
    pub fn models(&self) -> &[Model] {
        &self.models
    }

    /// The names that lead to a model, its own aside.
    pub fn aliases(&self, at: usize) -> Vec<&str> {
        let mut names: Vec<&str> = self
            .names
            .iter()
            .filter(|n| *n.1 == at)
            .map(|n| n.0.as_str())
            .collect();
        names.retain(|n| *n != self.models[at].name);
        names.sort_unstable();
        names
    }
}

fn plain(name: &str) -> bool {
    (1..=128).contains(&name.len())
        && name
            .bytes()
            .all(|b| b.is_ascii_graphic() && b != b'"' && b != b'\\')
}
