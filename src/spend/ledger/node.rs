//! A node of the ledger: its budgets, and the reservations at the node and its descendants.

use super::{BudgetExceeded, NodeId};
use crate::interface::Span;
use crate::spend::budget_usage::{BudgetUsage, UsedAmount};
use crate::spend::{Budget, ClockReading, MicroTokens};

/// A node's state.
pub(super) struct Node {
    /// The path of the node; empty once the node has been removed.
    pub path: String,
    pub parent: Option<NodeId>,
    /// Whether the node is in the current tree. Nodes that are not in it are kept only until their
    /// open reservations have ended.
    pub is_configured: bool,
    /// The sum of the open reservations of the node and its descendants.
    pub reserved: MicroTokens,
    pub open_reservations: u32,
    /// The amount that was used beyond reservations and was not charged, because a budget was
    /// already over its limit.
    pub uncharged: MicroTokens,
    pub budgets: Vec<NodeBudget>,
}

/// A budget of a node.
pub(super) struct NodeBudget {
    pub name: String,
    pub usage: BudgetUsage,
}

impl NodeBudget {
    /// Creates a budget of which nothing is used.
    pub fn new(budget: &Budget, instances: u32, now: ClockReading) -> NodeBudget {
        NodeBudget {
            name: budget.name.clone(),
            usage: BudgetUsage::new(&budget.limit, instances, now),
        }
    }
}

impl Node {
    /// Creates a configured node without reservations.
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

    /// Whether the node can be removed: it is not configured and has no open reservations.
    pub fn is_unused(&self) -> bool {
        self.open_reservations == 0 && !self.is_configured
    }

    /// Finds a budget by its name.
    pub fn find_budget(&mut self, name: &str) -> Option<&mut NodeBudget> {
        self.budgets.iter_mut().find(|budget| budget.name == name)
    }

    /// Replaces the budgets on a reload. A budget keeps the used amount of the previous one with
    /// the same name.
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

    /// Looks for budgets of the node at which an amount is not available, and stores the one with
    /// the longest wait in `longest_wait` if its wait is longer than the stored one. `depth` is the
    /// depth of the node.
    pub fn record_longest_wait(
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
                .is_none_or(|stored| wait > stored.wait());
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

    /// Ends a reservation and charges the amount used within and beyond it. Returns the part that
    /// was not charged: the maximum over the budgets of the node.
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
