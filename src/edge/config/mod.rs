//! The edge's configuration: `edge.toml` and the keys' file that it names.
//!
//! Both files are read and validated as a whole; an error names the file and the line. Reads files
//! only; the running edge puts a configuration into force.

mod budgets;
mod keys;
mod models;
mod nodes;
mod problem;
mod raw;
mod source_file;

use std::collections::HashMap;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use crate::config::{ConfigError, read_file};
use crate::identity::ApiKeys;
use crate::routing::{Catalog, ModelNumbers};
use crate::spend::{BudgetTree, MAX_DEPTH};
use keys::read_keys;
use models::build_catalog;
use nodes::{NodeTable, WeightedTenant};
use problem::Problem;
use raw::{RawConfig, RawFairness};
use source_file::SourceFile;

/// The most routers that may share the budgets.
const MAX_INSTANCES: u32 = 1000;
/// The most tokens of an answer that are reserved at a time.
const MAX_OUTPUT_SLICE: u32 = 65_536;
/// Tokens of an answer that are reserved at a time, where the file does not say.
const DEFAULT_OUTPUT_SLICE: u32 = 256;
/// Seconds between two polls of a host for its models, where the file does not say.
const DEFAULT_MODEL_POLL_SECONDS: f64 = 10.0;
/// The intervals of these polls, in seconds; 0 turns them off.
const MODEL_POLL_RANGE: std::ops::RangeInclusive<f64> = 0.0..=3600.0;
/// The rates that tenants may share, in requests a second.
const SHARED_RATE_RANGE: std::ops::RangeInclusive<f64> = 0.001..=1e7;
/// The weight of a request over its tenant's quota, where the file has quotas but no weight.
const DEFAULT_OVER_QUOTA_WEIGHT: f64 = 0.25;

/// A tenant, which requests count against.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// The path of its node, `district/school`.
    pub path: String,
    /// The requests a second, over all routers, that it has a right to where capacity is short;
    /// infinite without quotas.
    pub quota: f64,
}

/// The configuration of the edge: read as a whole, in force as a whole.
#[derive(Debug)]
pub struct EdgeConfig {
    /// The models.
    pub catalog: Arc<Catalog>,
    /// The budgets.
    pub tree: BudgetTree,
    /// The valid keys; none where requests are not authenticated.
    pub keys: Option<ApiKeys>,
    /// The models that a node may use, as indexes into the catalog, by the node's path. A node that
    /// is absent may use all models of its parent.
    pub allowed_models: HashMap<String, Vec<usize>>,
    /// The tenants, in the order of the settings' quotas.
    pub tenants: Vec<Tenant>,
    /// The indexes of tenants by their paths.
    tenant_index: HashMap<String, usize>,
    /// The weight of a request over its tenant's quota, from 0 to 1.
    pub over_quota_weight: f64,
    /// How often a host is polled for its models; zero for never.
    pub model_poll_interval: Duration,
    /// Tokens that an answer without a client's limit reserves at a time.
    pub output_slice: u32,
}

/// The edge's file after parsing, before the keys' file is read.
#[derive(Debug)]
pub struct ParsedConfig {
    /// The configuration, without keys.
    pub config: EdgeConfig,
    /// The keys' file, relative to the folder of the edge's file.
    pub keys_file: Option<PathBuf>,
}

impl EdgeConfig {
    /// Reads the edge's file and the keys' file. `classes` are the names of the settings' classes.
    pub fn load(
        path: &Path,
        classes: &[String],
        numbers: &mut ModelNumbers,
    ) -> Result<EdgeConfig, ConfigError> {
        let text = read_file(path)?;
        let parsed = EdgeConfig::parse(path, &text, classes, numbers)?;
        let mut config = parsed.config;
        if let Some(keys_file) = parsed.keys_file {
            let folder = path.parent().unwrap_or(Path::new(""));
            config.keys = Some(read_keys(&folder.join(keys_file), &config.tree)?);
        }
        Ok(config)
    }

    /// Parses the text of the edge's file; `path` is for errors only.
    pub fn parse(
        path: &Path,
        text: &str,
        classes: &[String],
        numbers: &mut ModelNumbers,
    ) -> Result<ParsedConfig, ConfigError> {
        let file = SourceFile { path, text };
        let raw: RawConfig = file.parse()?;
        let catalog = build_catalog(&file, &raw, classes, numbers)?;
        let nodes = NodeTable::read(&file, &raw, &catalog)?;
        let fairness = Fairness::read(&file, raw.fairness.as_ref())?;
        let model_poll_interval = match &raw.model_poll_seconds {
            Some(seconds) => file.number_in(MODEL_POLL_RANGE, "ask_models_s", seconds)?,
            None => DEFAULT_MODEL_POLL_SECONDS,
        };
        let output_slice = file.count_up_to(
            MAX_OUTPUT_SLICE,
            raw.output_slice.as_ref(),
            DEFAULT_OUTPUT_SLICE,
            Problem::SliceOutOfRange,
        )?;
        let tenants = fairness.quotas(nodes.tenants);
        let config = EdgeConfig {
            catalog: Arc::new(catalog),
            tree: nodes.tree,
            keys: None,
            allowed_models: nodes.allowed_models,
            tenant_index: index_by_path(&tenants),
            tenants,
            over_quota_weight: fairness.over_quota_weight,
            model_poll_interval: Duration::from_secs_f64(model_poll_interval),
            output_slice,
        };
        Ok(ParsedConfig {
            config,
            keys_file: raw.keys_file,
        })
    }

    /// How many of everything there are, in a line.
    pub fn summary(&self) -> String {
        let keys = match &self.keys {
            Some(keys) => format!("{} keys", keys.len()),
            None => "no keys: requests are not authenticated".into(),
        };
        let models = self.catalog.models().len();
        let nodes = self.tree.nodes.len();
        let tenants = self.tenants.len();
        format!("{models} models, {nodes} nodes, {tenants} tenants, {keys}")
    }

    /// Whether a node may use a model: the node itself and all above it must be allowed to.
    pub fn may_use(&self, node: &str, model: usize) -> bool {
        let parents = std::iter::successors(Some(node), |path| Some(path.rsplit_once('/')?.0));
        parents.take(MAX_DEPTH).all(|path| {
            self.allowed_models
                .get(path)
                .is_none_or(|models| models.contains(&model))
        })
    }

    /// The index of the tenant that a node belongs to.
    pub fn tenant_of(&self, node: &str) -> Option<usize> {
        self.tenant_index.get(tenant_path(node)).copied()
    }
}

/// The path of the tenant that a node belongs to: its first two names. The path of a node above all
/// tenants is returned as it is.
pub(super) fn tenant_path(node: &str) -> &str {
    let end = node.match_indices('/').nth(1).map(|(index, _)| index);
    &node[..end.unwrap_or(node.len())]
}

fn index_by_path(tenants: &[Tenant]) -> HashMap<String, usize> {
    let paths = tenants.iter().map(|tenant| tenant.path.clone());
    paths
        .enumerate()
        .map(|(index, path)| (path, index))
        .collect()
}

/// How tenants share the fleet where capacity is short.
struct Fairness {
    /// Requests a second that all tenants share by their weights.
    shared_rate: f64,
    over_quota_weight: f64,
}

impl Fairness {
    fn read(file: &SourceFile<'_>, raw: Option<&RawFairness>) -> Result<Fairness, ConfigError> {
        let Some(raw) = raw else {
            return Ok(Fairness {
                shared_rate: f64::INFINITY,
                over_quota_weight: 1.0,
            });
        };
        let rate = &raw.requests_per_second;
        let shared_rate = file.number_in(SHARED_RATE_RANGE, "requests_per_s", rate)?;
        let over_quota_weight = match &raw.over_quota_weight {
            Some(weight) => file.number_in(0.0..=1.0, "over_share_worth", weight)?,
            None => DEFAULT_OVER_QUOTA_WEIGHT,
        };
        Ok(Fairness {
            shared_rate,
            over_quota_weight,
        })
    }

    fn quotas(&self, tenants: Vec<WeightedTenant>) -> Vec<Tenant> {
        let total: f64 = tenants.iter().map(|tenant| tenant.weight).sum();
        let with_quota = |tenant: WeightedTenant| Tenant {
            path: tenant.path,
            quota: self.shared_rate * tenant.weight / total,
        };
        tenants.into_iter().map(with_quota).collect()
    }
}
