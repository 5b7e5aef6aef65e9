//! A node of the ledger: its budgets and the reservations at and below it.

use super::{BudgetExceeded, NodeId};
use crate::interface::Span;
use crate::spend::budget_usage::{BudgetUsage, UsedAmount};
use crate::spend::{Budget, ClockReading, MicroTokens};

/// A node's state.
pub(super) struct Node {
    /// Its path; empty once the node has been removed.
    pub path: String,
    pub parent: Option<NodeId>,
    /// Whether the node is in the tree in force. Other nodes only wait for the end of their
    /// reservations.
    pub is_configured: bool,
    /// The sum of the open reservations.
    pub reserved: MicroTokens,
    pub open_reservations: u32,
    /// The amount that was used beyond reservations and not charged, as a budget was over its limit
    /// already.
    pub uncharged: MicroTokens,
    pub budgets: Vec<NodeBudget>,
}

/// A budget of a node.
pub(super) struct NodeBudget {
    pub name: String,
    pub usage: BudgetUsage,
}

impl NodeBudget {
    /// A budget of which nothing is used.
    pub fn new(budget: &Budget, instances: u32, now: ClockReading) -> NodeBudget {
        NodeBudget {
            name: budget.name.clone(),
            usage: BudgetUsage::new(&budget.limit, instances, now),
        }
    }
}

impl Node {
    /// A configured node without reservations.
    pub fn new(path: String, parent: Option<NodeId>, budgets: Vec<NodeBudget>) -> Node {
        Node {
            path,
            parent,
            is_configured: true,
            reserved: MicroTokens::ZERO,
            open_reservations: 0,
            uncharged: MicroTokens::ZERO,
            budgets,
        }
    }

    /// Whether the node can be removed.
    pub fn is_unused(&self) -> bool {
        self.open_reservations == 0 && !self.is_configured
    }

    /// The budget of a name.
    pub fn find_budget(&mut self, name: &str) -> Option<&mut NodeBudget> {
        self.budgets.iter_mut().find(|budget| budget.name == name)
    }

    /// Configures the node again. Budgets of the same name keep what is used.
    pub fn replace_budgets(&mut self, mut budgets: Vec<NodeBudget>, now: ClockReading) {
        for budget in &mut budgets {
            if let Some(previous) = self.find_budget(&budget.name) {
                previous.usage.advance(now);
                budget.usage.inherit(&previous.usage);
            }
        }
        self.budgets = budgets;
        self.is_configured = true;
    }

    /// Notes the budget at which an amount is not available in `longest_wait`, where its wait is
    /// longer than that of the one noted before. `depth` is the node's.
    pub fn find_exceeded(
        &mut self,
        amount: MicroTokens,
        depth: usize,
        now: ClockReading,
        longest_wait: &mut Option<BudgetExceeded>,
    ) {
        for budget in &mut self.budgets {
            budget.usage.advance(now);
            let available = budget.usage.check_available(amount, self.reserved, now);
            let Err(insufficient) = available else {
                continue;
            };
            let retry_after = insufficient.retry_after();
            let wait = retry_after.unwrap_or(Span::MAX);
            let is_longest = longest_wait
                .as_ref()
                .is_none_or(|noted| wait > noted.wait());
            if is_longest {
                *longest_wait = Some(BudgetExceeded {
                    node: self.path.clone(),
                    depth,
                    budget: budget.name.clone(),
                    retry_after,
                    status: budget.usage.status(now),
                    reserved: self.reserved,
                });
            }
        }
    }

    /// Ends a reservation and charges what was used of it and beyond it. Returns what was not
    /// charged, at the budget where that was most.
    pub fn settle(
        &mut self,
        reservation: MicroTokens,
        used: MicroTokens,
        now: ClockReading,
    ) -> MicroTokens {
        self.reserved -= reservation;
        self.open_reservations -= 1;
        let used = UsedAmount {
            reserved: used.min(reservation),
            excess: used.saturating_sub(reservation),
        };
        let mut uncharged = MicroTokens::ZERO;
        for budget in &mut self.budgets {
            budget.usage.advance(now);
            uncharged = uncharged.max(budget.usage.charge(used, self.reserved));
        }
        self.uncharged = self.uncharged.saturating_add(uncharged);
        uncharged
    }
}
