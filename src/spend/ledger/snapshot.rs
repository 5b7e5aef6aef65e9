//! Snapshots of the used amounts, which can be serialized and restored into another ledger.

use serde::{Deserialize, Serialize};

use super::Ledger;
use super::node::{Node, NodeBudget};
use crate::interface::Timestamp;
use crate::spend::{ClockReading, MicroTokens};

/// The state of a node, in the form in which a durable or shared ledger would store it. It does not
/// contain the reservations: before a restore, the caller must have settled or charged them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeState {
    /// The path of the node.
    pub path: String,
    /// The states of the budgets of the node.
    #[serde(rename = "spent")]
    pub used: Vec<BudgetState>,
}

/// The state of a budget, stored as an array of its three fields.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "StoredBudgetState", into = "StoredBudgetState")]
pub struct BudgetState {
    /// The name of the budget.
    pub name: String,
    /// The amount that is used.
    pub used: MicroTokens,
    /// The Unix time at which this was the used amount, stored in microseconds.
    pub as_of: Timestamp,
}

/// The name, the used amount, and the Unix time in microseconds.
type StoredBudgetState = (String, MicroTokens, u64);

impl From<StoredBudgetState> for BudgetState {
    fn from((name, used, micros): StoredBudgetState) -> BudgetState {
        BudgetState {
            name,
            used,
            as_of: Timestamp::from_micros(micros),
        }
    }
}

impl From<BudgetState> for StoredBudgetState {
    fn from(state: BudgetState) -> StoredBudgetState {
        (state.name, state.used, state.as_of.as_micros())
    }
}

impl Ledger {
    /// The used amounts of all configured nodes.
    pub fn snapshot(&mut self, now: impl Into<ClockReading>) -> Vec<NodeState> {
        let now = now.into();
        self.nodes
            .iter_mut()
            .filter(|node| node.is_configured)
            .map(|node| node.state(now))
            .collect()
    }

    /// Restores the used amounts of a snapshot. Nodes and budgets that are not in the ledger are
    /// ignored.
    pub fn restore(&mut self, states: &[NodeState]) {
        for state in states {
            let Some(id) = self.find_node(&state.path) else {
                continue;
            };
            let node = &mut self.nodes[id.index()];
            for stored in &state.used {
                if let Some(budget) = node.find_budget(&stored.name) {
                    budget.usage.restore(stored.used, stored.as_of);
                }
            }
        }
    }
}

impl Node {
    fn state(&mut self, now: ClockReading) -> NodeState {
        let budgets = self.budgets.iter_mut().map(|budget| budget.state(now));
        NodeState {
            path: self.path.clone(),
            used: budgets.collect(),
        }
    }
}

impl NodeBudget {
    fn state(&mut self, now: ClockReading) -> BudgetState {
        self.usage.advance(now);
        BudgetState {
            name: self.name.clone(),
            used: self.usage.status(now).used,
            as_of: now.wall,
        }
    }
}
