//! The edge's configuration: `edge.toml` and the keys file that it refers to.
//!
//! Both files are read and validated as a whole; an error names the file and the line. This module
//! only reads the files; [`Edge::apply`](super::Edge::apply) applies the configuration.

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

/// The maximum number of routers that may share the budgets.
const MAX_INSTANCES: u32 = 1000;
/// The maximum number of output tokens that are reserved at a time.
const MAX_OUTPUT_SLICE: u32 = 65_536;
/// The default number of output tokens that are reserved at a time.
const DEFAULT_OUTPUT_SLICE: u32 = 256;
/// The default interval between two polls of a host for its models, in seconds.
const DEFAULT_MODEL_POLL_SECONDS: f64 = 10.0;
/// The allowed poll intervals, in seconds; 0 disables the polls.
const MODEL_POLL_RANGE: std::ops::RangeInclusive<f64> = 0.0..=3600.0;
/// The allowed request rates shared by all tenants, in requests per second.
const SHARED_RATE_RANGE: std::ops::RangeInclusive<f64> = 0.001..=1e7;
/// The default weight of a request over its tenant's quota, if the file configures quotas.
const DEFAULT_OVER_QUOTA_WEIGHT: f64 = 0.25;

/// A tenant and its quota.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// The path of the tenant's node, `district/school`.
    pub path: String,
    /// The guaranteed requests per second over all routers when capacity is short; infinite without
    /// quotas.
    pub quota: f64,
}

/// The configuration of the edge, which is read and applied as a whole.
#[derive(Debug)]
pub struct EdgeConfig {
    /// The catalog of models.
    pub catalog: Arc<Catalog>,
    /// The tree of nodes with their budgets.
    pub tree: BudgetTree,
    /// The valid keys; `None` if requests are not authenticated.
    pub keys: Option<ApiKeys>,
    /// The models that a node may use, as indexes into the catalog, keyed by the node's path. A
    /// node without an entry may use all models of its parent.
    pub allowed_models: HashMap<String, Vec<usize>>,
    /// The tenants, in the order of their quotas in the settings.
    pub tenants: Vec<Tenant>,
    /// The index of each tenant in `tenants`, keyed by its path.
    tenant_index: HashMap<String, usize>,
    /// The weight of a request over its tenant's quota, from 0 to 1.
    pub over_quota_weight: f64,
    /// The interval at which a host is polled for its models; zero disables the polls.
    pub model_poll_interval: Duration,
    /// The number of output tokens reserved at a time if the client sets no limit.
    pub output_slice: u32,
}

/// The parsed configuration file of the edge, before the keys file is read.
#[derive(Debug)]
pub struct ParsedConfig {
    /// The configuration, without keys.
    pub config: EdgeConfig,
    /// The path of the keys file, relative to the folder of the edge's configuration file.
    pub keys_file: Option<PathBuf>,
}

impl EdgeConfig {
    /// Reads the edge's configuration file and the keys file. `classes` are the class names of the
    /// router's settings.
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

    /// Parses the text of the edge's configuration file; `path` is used only in error messages.
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

    /// A one-line summary of the numbers of models, nodes, tenants and keys.
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

    /// Whether a node may use a model: the node and all its ancestors must be allowed to use it.
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

/// The path of the tenant that a node belongs to: the first two names of the node's path. The path
/// of a node above the tenants is returned unchanged.
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

/// How tenants share the fleet when capacity is short.
struct Fairness {
    /// The requests per second that all tenants share in proportion to their weights.
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
