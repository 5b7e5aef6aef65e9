//! Builds a catalog from its configuration and validates every entry.

use super::{
    AliasProblem, AliasSpec, Catalog, CatalogError, Model, ModelNumbers, ModelProblem, ModelSpec,
    PriceProblem, PriceSpec,
};
use crate::interface::Span;
use crate::routing::{MAX_ALIASES, MAX_FALLBACK_CHAIN, MAX_MODELS};
use crate::spend::{MAX_TOKEN_PRICE, Price};

/// The maximum length of a model name or an alias, in bytes.
const MAX_NAME_BYTES: usize = 128;

impl Catalog {
    /// Builds a catalog, or reports the first entry that is not valid. New model names get numbers
    /// in `numbers`, even if the catalog turns out to be invalid.
    pub fn build(
        specs: &[ModelSpec],
        aliases: &[AliasSpec],
        prices: &[PriceSpec],
        numbers: &mut ModelNumbers,
    ) -> Result<Catalog, CatalogError> {
        let mut catalog = Catalog::default();
        for (index, spec) in specs.iter().enumerate() {
            let error = |problem| CatalogError::Model { index, problem };
            catalog.add_name(index, spec).map_err(error)?;
        }
        for (index, spec) in specs.iter().enumerate() {
            let error = |problem| CatalogError::Model { index, problem };
            let number = numbers.assign(&spec.name);
            let number = number.ok_or_else(|| error(ModelProblem::NoNumberLeft))?;
            let model = catalog.resolve(index, number, specs).map_err(error)?;
            catalog.models.push(model);
        }
        let mut has_price = vec![false; specs.len()];
        for (index, spec) in prices.iter().enumerate() {
            let error = |problem| CatalogError::Price { index, problem };
            catalog.set_price(spec, &mut has_price).map_err(error)?;
        }
        catalog.add_aliases(aliases)?;
        Ok(catalog)
    }

    /// Checks the values of one entry and adds the name of its model.
    fn add_name(&mut self, index: usize, spec: &ModelSpec) -> Result<(), ModelProblem> {
        let name = &spec.name;
        if index >= MAX_MODELS {
            return Err(ModelProblem::TooManyModels);
        }
        if !is_valid_name(name) {
            return Err(ModelProblem::InvalidName(name.clone()));
        }
        let max_output = spec.max_output_tokens;
        if max_output == 0 || max_output > spec.context_window {
            return Err(ModelProblem::InvalidWindow(name.clone()));
        }
        if self.indices.insert(name.clone(), index).is_some() {
            return Err(ModelProblem::DuplicateName(name.clone()));
        }
        Ok(())
    }

    /// Builds the model of an entry and looks up the other models that the entry names. The names
    /// of all models must have been added before.
    fn resolve(
        &self,
        index: usize,
        number: u32,
        specs: &[ModelSpec],
    ) -> Result<Model, ModelProblem> {
        let spec = &specs[index];
        let base = match &spec.base {
            Some(base) => Some(self.resolve_base(index, base, specs)?),
            None if spec.load_time > Span::ZERO => {
                return Err(ModelProblem::LoadTimeWithoutBase(spec.name.clone()));
            }
            None => None,
        };
        Ok(Model {
            name: spec.name.clone(),
            number,
            base,
            load_time: spec.load_time,
            context_window: spec.context_window,
            max_output_tokens: spec.max_output_tokens,
            class: spec.class.clone(),
            price: Price::default(),
            fallback_chain: self.resolve_chain(index, specs)?,
        })
    }

    fn resolve_base(
        &self,
        adapter: usize,
        base: &str,
        specs: &[ModelSpec],
    ) -> Result<usize, ModelProblem> {
        let model = specs[adapter].name.clone();
        let Some(index) = self.find(base) else {
            let base = base.into();
            return Err(ModelProblem::UnknownBase { model, base });
        };
        if specs[index].base.is_some() || index == adapter {
            let base = base.into();
            return Err(ModelProblem::BaseIsAdapter { model, base });
        }
        Ok(index)
    }

    fn resolve_chain(&self, index: usize, specs: &[ModelSpec]) -> Result<Vec<usize>, ModelProblem> {
        let name = &specs[index].name;
        let mut chain = vec![index];
        let mut last = &specs[index];
        while let Some(fallback) = &last.fallback {
            let Some(next) = self.find(fallback) else {
                return Err(ModelProblem::UnknownFallback {
                    model: last.name.clone(),
                    fallback: fallback.clone(),
                });
            };
            if chain.contains(&next) {
                return Err(ModelProblem::FallbackCycle {
                    model: name.clone(),
                    fallback: fallback.clone(),
                });
            }
            if chain.len() >= MAX_FALLBACK_CHAIN {
                return Err(ModelProblem::ChainTooLong(name.clone()));
            }
            chain.push(next);
            last = &specs[next];
        }
        Ok(chain)
    }

    fn set_price(&mut self, spec: &PriceSpec, has_price: &mut [bool]) -> Result<(), PriceProblem> {
        let PriceSpec { model, price } = spec;
        let Some(index) = self.find(model) else {
            return Err(PriceProblem::UnknownModel(model.clone()));
        };
        if has_price[index] {
            return Err(PriceProblem::DuplicatePrice(model.clone()));
        }
        if price.per_prompt_token.max(price.per_output_token) > MAX_TOKEN_PRICE {
            return Err(PriceProblem::TooHigh(model.clone()));
        }
        has_price[index] = true;
        self.models[index].price = *price;
        Ok(())
    }

    fn add_aliases(&mut self, specs: &[AliasSpec]) -> Result<(), CatalogError> {
        // an alias must name a model: an alias of another alias could form a cycle
        let models = self.indices.clone();
        for (index, spec) in specs.iter().enumerate() {
            let error = |problem| CatalogError::Alias { index, problem };
            if index >= MAX_ALIASES || !is_valid_name(&spec.name) {
                return Err(error(AliasProblem::InvalidOrTooMany(spec.name.clone())));
            }
            let Some(&model) = models.get(&spec.model) else {
                return Err(error(AliasProblem::UnknownModel {
                    alias: spec.name.clone(),
                    model: spec.model.clone(),
                }));
            };
            if self.indices.insert(spec.name.clone(), model).is_some() {
                return Err(error(AliasProblem::NameTaken(spec.name.clone())));
            }
        }
        Ok(())
    }
}

/// Whether a name can be written in a JSON string or a header without escapes: printable ASCII
/// without quotation marks and backslashes.
fn is_valid_name(name: &str) -> bool {
    let is_allowed = |byte: u8| byte.is_ascii_graphic() && byte != b'"' && byte != b'\\';
    (1..=MAX_NAME_BYTES).contains(&name.len()) && name.bytes().all(is_allowed)
}
