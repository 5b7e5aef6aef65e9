//! The TOML structure of the edge's configuration file and the keys file. Other modules use the
//! names of settings only in error messages.

use std::path::PathBuf;

use serde::Deserialize;
use toml::Spanned;

/// The edge's configuration file.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RawConfig {
    #[serde(rename = "keys")]
    pub(super) keys_file: Option<PathBuf>,
    #[serde(rename = "zone")]
    pub(super) time_zone: Option<Spanned<String>>,
    #[serde(rename = "terms", default)]
    pub(super) term_starts: Vec<Spanned<String>>,
    pub(super) instances: Option<Spanned<u32>>,
    #[serde(rename = "ask_models_s")]
    pub(super) model_poll_seconds: Option<Spanned<f64>>,
    #[serde(rename = "slice")]
    pub(super) output_slice: Option<Spanned<u32>>,
    pub(super) fairness: Option<RawFairness>,
    #[serde(rename = "model", default)]
    pub(super) models: Vec<Spanned<RawModel>>,
    #[serde(rename = "alias", default)]
    pub(super) aliases: Vec<Spanned<RawAlias>>,
    #[serde(rename = "price", default)]
    pub(super) prices: Vec<Spanned<RawPrice>>,
    #[serde(rename = "node", default)]
    pub(super) nodes: Vec<Spanned<RawNode>>,
}

/// How tenants share the fleet when capacity is short.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RawFairness {
    #[serde(rename = "requests_per_s")]
    pub(super) requests_per_second: Spanned<f64>,
    #[serde(rename = "over_share_worth")]
    pub(super) over_quota_weight: Option<Spanned<f64>>,
}

/// A model of the catalog.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RawModel {
    pub(super) name: String,
    pub(super) base: Option<String>,
    pub(super) load_ms: Option<u32>,
    #[serde(rename = "window")]
    pub(super) context_window: u32,
    #[serde(rename = "max_answer")]
    pub(super) max_output_tokens: u32,
    pub(super) fallback: Option<String>,
    pub(super) class: Option<Spanned<String>>,
}

/// An alternative name for a model.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RawAlias {
    pub(super) name: String,
    pub(super) model: String,
}

/// The price of a model's tokens, in millionths of a budget token per token.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RawPrice {
    pub(super) model: String,
    #[serde(rename = "prompt")]
    pub(super) per_prompt_token: u64,
    #[serde(rename = "answer")]
    pub(super) per_output_token: u64,
}

/// A node of the tree, with its budgets.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RawNode {
    pub(super) path: String,
    pub(super) weight: Option<Spanned<f64>>,
    pub(super) models: Option<Vec<Spanned<String>>>,
    #[serde(default)]
    pub(super) budgets: Vec<Spanned<RawBudget>>,
}

/// A budget of a node: a number of tokens per period, or a token rate with a burst.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RawBudget {
    pub(super) name: Option<String>,
    pub(super) tokens: Spanned<i64>,
    #[serde(rename = "per")]
    pub(super) period: Option<Spanned<String>>,
    pub(super) refill: Option<Spanned<String>>,
    #[serde(rename = "zone")]
    pub(super) time_zone: Option<Spanned<String>>,
    #[serde(rename = "per_second")]
    pub(super) rate: Option<Spanned<f64>>,
}

/// The keys file.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RawKeysFile {
    #[serde(rename = "key", default)]
    pub(super) keys: Vec<Spanned<RawKey>>,
}

/// An API key of a node.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RawKey {
    pub(super) id: String,
    pub(super) node: String,
    pub(super) hash: String,
    #[serde(default)]
    pub(super) revoked: bool,
}
