//! The error for a reservation that does not fit into a budget.

use thiserror::Error;

use crate::interface::Span;
use crate::spend::{BudgetStatus, MicroTokens};

/// An amount is not available at a budget. If several budgets lack it, this is the one with the
/// longest wait.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("the budget {budget:?} of {node} is exceeded")]
pub struct BudgetExceeded {
    /// The path of the node.
    pub node: String,
    /// The depth of the node in the tree: 0 for the root.
    pub depth: usize,
    /// The name of the budget.
    pub budget: String,
    /// How long to wait before a retry; `None` if the amount is above the whole limit.
    pub retry_after: Option<Span>,
    /// The state of the budget.
    pub status: BudgetStatus,
    /// The amount that is reserved at the node.
    pub reserved: MicroTokens,
}

impl BudgetExceeded {
    /// The wait for comparisons: [`Span::MAX`] if the amount can never become available.
    pub(super) fn wait(&self) -> Span {
        self.retry_after.unwrap_or(Span::MAX)
    }
}
