//! The spent amounts as plain data: taken from a ledger, and restored into another.

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
    pub spent: Vec<BudgetState>,
}

/// The state of a budget, stored as an array of its three fields.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "StoredBudgetState", into = "StoredBudgetState")]
pub struct BudgetState {
    /// The name of the budget.
    pub name: String,
    /// The amount that is spent.
    pub spent: MicroTokens,
    /// When that was so: Unix time, stored in microseconds.
    pub spent_at: Timestamp,
}

/// Name, spent amount and Unix time in microseconds.
type StoredBudgetState = (String, MicroTokens, u64);

impl From<StoredBudgetState> for BudgetState {
    fn from((name, spent, micros): StoredBudgetState) -> BudgetState {
        BudgetState {
            name,
            spent,
            spent_at: Timestamp::from_micros(micros),
        }
    }
}

impl From<BudgetState> for StoredBudgetState {
    fn from(state: BudgetState) -> StoredBudgetState {
        (state.name, state.spent, state.spent_at.as_micros())
    }
}

impl Ledger {
    /// The spent amounts of all configured nodes.
    pub fn snapshot(&mut self, now: impl Into<ClockReading>) -> Vec<NodeState> {
        let now = now.into();
        self.nodes
            .iter_mut()
            .filter(|node| node.is_configured)
            .map(|node| node.state(now))
            .collect()
    }

    /// Restores the spent amounts of a snapshot. Nodes and budgets that the ledger does not have
    /// are ignored.
    pub fn restore(&mut self, states: &[NodeState]) {
        for state in states {
            let Some(id) = self.find_node(&state.path) else {
                continue;
            };
            let node = &mut self.nodes[id.index()];
            for stored in &state.spent {
                if let Some(budget) = node.find_budget(&stored.name) {
                    budget.usage.restore(stored.spent, stored.spent_at);
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
            spent: budgets.collect(),
        }
    }
}

impl NodeBudget {
    fn state(&mut self, now: ClockReading) -> BudgetState {
        self.usage.advance(now);
        BudgetState {
            name: self.name.clone(),
            spent: self.usage.status(now).spent,
            spent_at: now.wall,
        }
    }
}
