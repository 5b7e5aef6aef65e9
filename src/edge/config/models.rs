//! Builds the catalog of models with their aliases and prices.

use toml::Spanned;

use super::problem::Problem;
use super::raw::{RawAlias, RawConfig, RawModel, RawPrice};
use super::source_file::SourceFile;
use crate::config::ConfigError;
use crate::interface::Span;
use crate::routing::{AliasSpec, Catalog, CatalogError, ModelNumbers, ModelSpec, PriceSpec};
use crate::spend::{MicroTokens, Price};

/// Builds the catalog. `classes` are the valid class names of a model.
pub(super) fn build_catalog(
    file: &SourceFile<'_>,
    raw: &RawConfig,
    classes: &[String],
    numbers: &mut ModelNumbers,
) -> Result<Catalog, ConfigError> {
    check_classes(file, &raw.models, classes)?;
    let specs: Vec<ModelSpec> = raw.models.iter().map(model_spec).collect();
    let aliases: Vec<AliasSpec> = raw.aliases.iter().map(alias_spec).collect();
    let prices: Vec<PriceSpec> = raw.prices.iter().map(price_spec).collect();
    if specs.is_empty() {
        return Err(file.error(0..0, Problem::NoModels));
    }
    Catalog::build(&specs, &aliases, &prices, numbers).map_err(|error| {
        let (byte_range, problem) = match error {
            CatalogError::Model { index, problem } => (raw.models[index].span(), problem.into()),
            CatalogError::Alias { index, problem } => (raw.aliases[index].span(), problem.into()),
            CatalogError::Price { index, problem } => (raw.prices[index].span(), problem.into()),
        };
        file.error(byte_range, problem)
    })
}

fn check_classes(
    file: &SourceFile<'_>,
    models: &[Spanned<RawModel>],
    classes: &[String],
) -> Result<(), ConfigError> {
    for class in models.iter().filter_map(|m| m.get_ref().class.as_ref()) {
        if !classes.contains(class.get_ref()) {
            let problem = Problem::UnknownClass(class.get_ref().clone());
            return Err(file.error(class.span(), problem));
        }
    }
    Ok(())
}

fn model_spec(raw: &Spanned<RawModel>) -> ModelSpec {
    let model = raw.get_ref();
    ModelSpec {
        name: model.name.clone(),
        base: model.base.clone(),
        load_time: Span::from_millis(model.load_ms.unwrap_or(0).into()),
        context_window: model.context_window,
        max_output_tokens: model.max_output_tokens,
        fallback: model.fallback.clone(),
        class: model.class.as_ref().map(|class| class.get_ref().clone()),
    }
}

fn alias_spec(raw: &Spanned<RawAlias>) -> AliasSpec {
    let alias = raw.get_ref();
    AliasSpec {
        name: alias.name.clone(),
        model: alias.model.clone(),
    }
}

fn price_spec(raw: &Spanned<RawPrice>) -> PriceSpec {
    let price = raw.get_ref();
    PriceSpec {
        model: price.model.clone(),
        price: Price {
            per_prompt_token: MicroTokens::new(price.per_prompt_token),
            per_output_token: MicroTokens::new(price.per_output_token),
        },
    }
}
