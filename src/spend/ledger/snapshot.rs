//! What is spent as plain data: written out, and brought back into another ledger.

use serde::{Deserialize, Serialize};

use super::{Ledger, NodeId};
use crate::interface::Timestamp;
use crate::spend::{ClockReading, MicroTokens};

/// A node's state as plain data: what a durable or shared ledger would keep. Reservations are not
/// kept; whoever restores must have settled or charged them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeState {
    /// Its path.
    pub path: String,
    /// Each budget's name, what is spent of it, and as of when (Unix time, microseconds).
    pub spent: Vec<(String, MicroTokens, u64)>,
}

impl Ledger {
    /// What is spent, as plain data.
    pub fn snapshot(&mut self, now: impl Into<ClockReading>) -> Vec<NodeState> {
        let now = now.into();
        let listed = self.nodes.iter_mut().filter(|n| n.listed);
        let state = listed.map(|n| {
            let spent = n.budgets.iter_mut().map(|(name, gauge)| {
                gauge.advance(now);
                (name.clone(), gauge.status(now).spent, now.wall.as_micros())
            });
            NodeState {
                path: n.path.clone(),
                spent: spent.collect(),
            }
        });
        state.collect()
    }

    /// Brings back what a snapshot held; nodes and budgets that are not there now are passed over.
    pub fn restore(&mut self, states: &[NodeState]) {
        for state in states {
            let Some(NodeId(k)) = self.find_node(&state.path) else {
                continue;
            };
            for (name, spent, at) in &state.spent {
                let budgets = &mut self.nodes[k as usize].budgets;
                if let Some((_, gauge)) = budgets.iter_mut().find(|b| b.0 == *name) {
                    gauge.restore(*spent, Timestamp::from_micros(*at));
                }
            }
        }
    }
}
