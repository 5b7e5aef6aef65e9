//! The tree of budgets as it is configured, and its validation.

use std::collections::HashSet;

use thiserror::Error;

use super::{MAX_BUDGET_TOKENS, MAX_BUDGETS_PER_NODE, MAX_DEPTH, MAX_NODES, MicroTokens, Period};
use crate::interface::Span;

/// The most bytes of one name of a node's path.
const MAX_PATH_NAME_BYTES: usize = 64;

/// How much of a budget may be used, and when it is available again.
#[derive(Clone, Debug, PartialEq)]
pub enum BudgetLimit {
    /// A fixed amount in each calendar period; what is left at its end is lost.
    PerPeriod {
        /// The amount of one period.
        amount: MicroTokens,
        /// The period.
        period: Period,
    },
    /// A token bucket: a burst at once, refilled at a constant rate.
    TokenBucket {
        /// The capacity of the bucket: the largest burst.
        amount: MicroTokens,
        /// How long an empty bucket takes to be full again; above zero.
        refill_time: Span,
    },
}

impl BudgetLimit {
    /// The amount of one period, or the capacity of the bucket.
    fn amount(&self) -> MicroTokens {
        match self {
            BudgetLimit::PerPeriod { amount, .. } | BudgetLimit::TokenBucket { amount, .. } => {
                *amount
            }
        }
    }

    /// Whether this is a token bucket that would refill in no time, which divides by zero.
    fn refills_in_no_time(&self) -> bool {
        matches!(self, BudgetLimit::TokenBucket { refill_time, .. } if *refill_time == Span::ZERO)
    }
}

/// A budget of a node.
#[derive(Clone, Debug, PartialEq)]
pub struct Budget {
    /// Its name, unique in its node. Messages show it, and reloads match budgets by it.
    pub name: String,
    /// Its limit.
    pub limit: BudgetLimit,
}

/// A node as it is configured.
#[derive(Clone, Debug, PartialEq)]
pub struct BudgetNode {
    /// Its path, such as `district/school/class/person`. The parent comes earlier in the tree.
    pub path: String,
    /// Its budgets. A request must fit into all of them.
    pub budgets: Vec<Budget>,
}

/// All configured nodes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct BudgetTree {
    /// The nodes, each behind its parent.
    pub nodes: Vec<BudgetNode>,
    /// The number of routers, this one among them, that share every budget evenly.
    pub instances: u32,
}

/// A node of a tree that is not valid.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("node {node} of the tree is not valid")]
pub struct BudgetTreeError {
    /// The index of the node in the tree.
    pub node: usize,
    /// What is wrong with it.
    #[source]
    pub problem: BudgetNodeError,
}

/// Why a node of a tree is not valid.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum BudgetNodeError {
    /// The tree is too large.
    #[error("over {MAX_NODES} nodes")]
    TooManyNodes,
    /// The path is too deep, or a name of it is empty, too long or not printable ASCII.
    #[error("{0:?} is no path of 1 to {MAX_DEPTH} plain names")]
    InvalidPath(String),
    /// No earlier node has the path of the parent.
    #[error("{path:?} stands under no node: name {parent:?} first")]
    NoParent {
        /// The path of the node.
        path: String,
        /// The path of the parent that is missing.
        parent: String,
    },
    /// An earlier node has the same path.
    #[error("{0:?} stands there twice")]
    DuplicatePath(String),
    /// The node has more than [`MAX_BUDGETS_PER_NODE`] budgets.
    #[error("{0:?} has over {MAX_BUDGETS_PER_NODE} budgets")]
    TooManyBudgets(String),
    /// Two budgets of the node have the same name.
    #[error("{path:?} has two budgets named {budget:?}")]
    DuplicateBudget {
        /// The path of the node.
        path: String,
        /// The name of the budgets.
        budget: String,
    },
    /// The limit of the named budget is beyond [`MAX_BUDGET_TOKENS`].
    #[error("{0:?} is over {MAX_BUDGET_TOKENS} tokens")]
    LimitTooLarge(String),
    /// The named budget is a token bucket whose refill time is zero.
    #[error("{0:?} refills in no time")]
    NoRefillTime(String),
}

impl BudgetTree {
    /// Checks that the paths are well-formed and unique, that parents come first, and that the
    /// budgets of each node have unique names and limits in range.
    pub fn check(&self) -> Result<(), BudgetTreeError> {
        let mut known_paths = HashSet::new();
        for (index, node) in self.nodes.iter().enumerate() {
            let error = |problem| BudgetTreeError {
                node: index,
                problem,
            };
            if index >= MAX_NODES {
                return Err(error(BudgetNodeError::TooManyNodes));
            }
            check_path(&node.path, &known_paths).map_err(error)?;
            known_paths.insert(node.path.as_str());
            node.check_budgets().map_err(error)?;
        }
        Ok(())
    }
}

impl BudgetNode {
    fn check_budgets(&self) -> Result<(), BudgetNodeError> {
        if self.budgets.len() > MAX_BUDGETS_PER_NODE {
            return Err(BudgetNodeError::TooManyBudgets(self.path.clone()));
        }
        for (index, budget) in self.budgets.iter().enumerate() {
            let earlier = &self.budgets[..index];
            if earlier.iter().any(|other| other.name == budget.name) {
                return Err(BudgetNodeError::DuplicateBudget {
                    path: self.path.clone(),
                    budget: budget.name.clone(),
                });
            }
            if budget.limit.amount() > MicroTokens::from_tokens(MAX_BUDGET_TOKENS) {
                return Err(BudgetNodeError::LimitTooLarge(budget.name.clone()));
            }
            if budget.limit.refills_in_no_time() {
                return Err(BudgetNodeError::NoRefillTime(budget.name.clone()));
            }
        }
        Ok(())
    }
}

fn check_path(path: &str, known_paths: &HashSet<&str>) -> Result<(), BudgetNodeError> {
    let depth = path.split('/').count();
    if depth > MAX_DEPTH || !path.split('/').all(is_path_name) {
        return Err(BudgetNodeError::InvalidPath(path.into()));
    }
    if let Some((parent, _)) = path.rsplit_once('/')
        && !known_paths.contains(parent)
    {
        return Err(BudgetNodeError::NoParent {
            path: path.into(),
            parent: parent.into(),
        });
    }
    if known_paths.contains(path) {
        return Err(BudgetNodeError::DuplicatePath(path.into()));
    }
    Ok(())
}

/// Whether a name can stand in a path: printable ASCII without quotation marks.
fn is_path_name(name: &str) -> bool {
    !name.is_empty()
        && name.len() <= MAX_PATH_NAME_BYTES
        && name
            .bytes()
            .all(|byte| byte.is_ascii_graphic() && byte != b'"')
}
