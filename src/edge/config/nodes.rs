//! Reads the tree of nodes: budgets, the models that a node may use, and the tenants' weights.

use std::collections::HashMap;

use toml::Spanned;

use super::budgets::BudgetReader;
use super::problem::Problem;
use super::raw::{RawConfig, RawNode};
use super::source_file::SourceFile;
use super::{MAX_INSTANCES, tenant_path};
use crate::config::ConfigError;
use crate::routing::Catalog;
use crate::spend::{BudgetNode, BudgetTree};

/// The allowed weights of a tenant.
const WEIGHT_RANGE: std::ops::RangeInclusive<f64> = 0.001..=1e6;
/// The default weight of a tenant.
const DEFAULT_WEIGHT: f64 = 1.0;

/// A tenant and its weight relative to the other tenants.
pub(super) struct WeightedTenant {
    pub(super) path: String,
    pub(super) weight: f64,
}

/// The nodes read from the file.
pub(super) struct NodeTable {
    pub(super) tree: BudgetTree,
    /// The models that a node may use, for nodes that list models.
    pub(super) allowed_models: HashMap<String, Vec<usize>>,
    pub(super) tenants: Vec<WeightedTenant>,
}

impl NodeTable {
    /// Reads all nodes and validates their tree.
    pub(super) fn read(
        file: &SourceFile<'_>,
        raw: &RawConfig,
        catalog: &Catalog,
    ) -> Result<NodeTable, ConfigError> {
        let budgets = BudgetReader::new(file, raw)?;
        let instances = raw.instances.as_ref();
        let instances =
            file.count_up_to(MAX_INSTANCES, instances, 1, Problem::InstancesOutOfRange)?;
        let mut table = NodeTable {
            tree: BudgetTree {
                nodes: Vec::with_capacity(raw.nodes.len()),
                instances,
            },
            allowed_models: HashMap::new(),
            tenants: Vec::new(),
        };
        for node in &raw.nodes {
            table.add_node(file, node.get_ref(), &budgets, catalog)?;
        }
        table.tree.check().map_err(|error| {
            let byte_range = raw.nodes[error.node].span();
            file.error(byte_range, error.problem.into())
        })?;
        Ok(table)
    }

    fn add_node(
        &mut self,
        file: &SourceFile<'_>,
        node: &RawNode,
        budgets: &BudgetReader<'_>,
        catalog: &Catalog,
    ) -> Result<(), ConfigError> {
        let budgets: Result<_, ConfigError> =
            node.budgets.iter().map(|raw| budgets.read(raw)).collect();
        self.tree.nodes.push(BudgetNode {
            path: node.path.clone(),
            budgets: budgets?,
        });
        if let Some(names) = &node.models {
            let models: Result<_, ConfigError> = names
                .iter()
                .map(|name| find_model(file, catalog, name))
                .collect();
            self.allowed_models.insert(node.path.clone(), models?);
        }
        self.add_tenant(file, node)
    }

    fn add_tenant(&mut self, file: &SourceFile<'_>, node: &RawNode) -> Result<(), ConfigError> {
        let weight = node.weight.as_ref();
        if !is_tenant(&node.path) {
            return match weight {
                Some(weight) => Err(file.error(weight.span(), Problem::WeightOnNonTenant)),
                None => Ok(()),
            };
        }
        let weight = match weight {
            Some(weight) => file.number_in(WEIGHT_RANGE, "weight", weight)?,
            None => DEFAULT_WEIGHT,
        };
        self.tenants.push(WeightedTenant {
            path: node.path.clone(),
            weight,
        });
        Ok(())
    }
}

/// Whether a node is a tenant: a direct child of the root.
fn is_tenant(path: &str) -> bool {
    path.contains('/') && tenant_path(path) == path
}

fn find_model(
    file: &SourceFile<'_>,
    catalog: &Catalog,
    name: &Spanned<String>,
) -> Result<usize, ConfigError> {
    catalog.find(name.get_ref()).ok_or_else(|| {
        let problem = Problem::UnknownModel(name.get_ref().clone());
        file.error(name.span(), problem)
    })
}
