//! The used amounts as plain data: taken from a ledger, and restored into another.

use serde::{Deserialize, Serialize};

use super::Ledger;
use super::node::{Node, NodeBudget};
use crate::interface::Timestamp;
use crate::spend::{ClockReading, MicroTokens};

/// The state of a node as a durable or shared ledger would store it. Reservations are not part of
/// it; whoever restores it must have settled or charged them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeState {
    /// The path of the node.
    pub path: String,
    /// The states of its budgets.
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
    /// When that was so: Unix time, stored in microseconds.
    pub as_of: Timestamp,
}

/// Name, used amount and Unix time in microseconds.
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

    /// Restores the used amounts of a snapshot. Nodes and budgets that the ledger does not have
    /// are ignored.
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
