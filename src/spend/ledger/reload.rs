//! Reloads, which replace the tree of budgets.

use super::node::{Node, NodeBudget};
use super::{Ledger, NodeId};
use crate::spend::{BudgetTree, BudgetTreeError, ClockReading};

impl Ledger {
    /// Replaces the tree. A tree that is not valid changes nothing.
    ///
    /// Nodes with the same path keep their reservations, and their budgets with the same name keep
    /// the used amounts. A budget whose new limit is below the sum of both rejects reservations
    /// until enough is available. A node that is not in the new tree is removed once its
    /// reservations have ended.
    pub fn reload(
        &mut self,
        tree: &BudgetTree,
        now: impl Into<ClockReading>,
    ) -> Result<(), BudgetTreeError> {
        tree.check()?;
        let now = now.into();
        for node in &mut self.nodes {
            node.is_configured = false;
        }
        for configured in &tree.nodes {
            let budgets = configured
                .budgets
                .iter()
                .map(|budget| NodeBudget::new(budget, tree.instances, now))
                .collect();
            match self.find_node(&configured.path) {
                Some(id) => self.nodes[id.index()].replace_budgets(budgets, now),
                None => self.add_node(&configured.path, budgets),
            }
        }
        self.remove_unused_nodes();
        Ok(())
    }

    /// Adds a node whose parent is already in the ledger.
    fn add_node(&mut self, path: &str, budgets: Vec<NodeBudget>) {
        let parent = path
            .rsplit_once('/')
            .and_then(|(parent, _)| self.find_node(parent));
        let node = Node::new(path.into(), parent, budgets);
        let next_index = self.nodes.len() as u32;
        let index = self.free_indices.pop().unwrap_or(next_index);
        match self.nodes.get_mut(index as usize) {
            Some(unused) => *unused = node,
            None => self.nodes.push(node),
        }
        self.ids_by_path.insert(path.into(), NodeId(index));
    }

    fn remove_unused_nodes(&mut self) {
        for index in 0..self.nodes.len() {
            let node = &self.nodes[index];
            let is_removed = node.path.is_empty();
            if node.is_unused() && !is_removed {
                self.remove_node(index);
            }
        }
    }

    /// Removes a node and makes its index available to new nodes.
    pub(super) fn remove_node(&mut self, index: usize) {
        let id = NodeId(index as u32);
        let path = std::mem::take(&mut self.nodes[index].path);
        if self.ids_by_path.get(&path) == Some(&id) {
            self.ids_by_path.remove(&path);
        }
        self.nodes[index].budgets = Vec::new();
        self.free_indices.push(id.0);
    }
}
