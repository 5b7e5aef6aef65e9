//! The usage of nodes as it is reported to operators and clients.

use super::node::{Node, NodeBudget};
use super::{Ledger, NodeId};
use crate::spend::{BudgetStatus, ClockReading, MicroTokens};

/// The usage of a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeUsage {
    /// The path of the node.
    pub path: String,
    /// The amount that is currently reserved.
    pub reserved: MicroTokens,
    /// The amount that was used but not charged since the router started.
    pub uncharged: MicroTokens,
    /// The node's budgets.
    pub budgets: Vec<NamedStatus>,
}

/// The name and the status of a budget.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NamedStatus {
    /// The name of the budget.
    pub name: String,
    /// The status of the budget.
    pub status: BudgetStatus,
}

impl Ledger {
    /// The usage of a node and all its descendants, sorted by path. The call reads every node of
    /// the ledger, so it must not be made for each request.
    pub fn subtree_usage(&mut self, node: NodeId, now: impl Into<ClockReading>) -> Vec<NodeUsage> {
        let now = now.into();
        let root = self.nodes[node.index()].path.clone();
        let mut usages: Vec<NodeUsage> = Vec::new();
        for node in &mut self.nodes {
            if node.is_configured && is_in_subtree(&node.path, &root) {
                usages.push(node.usage(now));
            }
        }
        usages.sort_by(|a, b| a.path.cmp(&b.path));
        usages
    }
}

fn is_in_subtree(path: &str, root: &str) -> bool {
    path.strip_prefix(root)
        .is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}

impl Node {
    fn usage(&mut self, now: ClockReading) -> NodeUsage {
        let budgets = self.budgets.iter_mut().map(|budget| budget.status(now));
        NodeUsage {
            path: self.path.clone(),
            reserved: self.reserved,
            uncharged: self.uncharged,
            budgets: budgets.collect(),
        }
    }
}

impl NodeBudget {
    fn status(&mut self, now: ClockReading) -> NamedStatus {
        self.usage.advance(now);
        NamedStatus {
            name: self.name.clone(),
            status: self.usage.status(now),
        }
    }
}
