//! The configured tree of budgets, and its validation.

use std::collections::HashSet;

use thiserror::Error;

use super::{MAX_BUDGET_TOKENS, MAX_BUDGETS_PER_NODE, MAX_DEPTH, MAX_NODES, MicroTokens, Period};
use crate::interface::Span;

/// The maximum length of one segment of a node's path, in bytes.
const MAX_PATH_SEGMENT_BYTES: usize = 64;

/// How much of a budget can be used, and when it becomes available again.
#[derive(Clone, Debug, PartialEq)]
pub enum BudgetLimit {
    /// A fixed amount for each calendar period. The unused part expires at the end of the period.
    PerPeriod {
        /// The amount of one period.
        amount: MicroTokens,
        /// The period.
        period: Period,
    },
    /// A token bucket: the full capacity is available as a burst, and refills at a constant rate.
    TokenBucket {
        /// The capacity of the bucket: the largest burst.
        amount: MicroTokens,
        /// The time in which an empty bucket refills completely. Must be greater than zero.
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

    /// Whether this is a token bucket with a refill time of zero, which would cause a division by
    /// zero.
    fn has_zero_refill_time(&self) -> bool {
        matches!(self, BudgetLimit::TokenBucket { refill_time, .. } if *refill_time == Span::ZERO)
    }
}

/// A budget of a node.
#[derive(Clone, Debug, PartialEq)]
pub struct Budget {
    /// The name of the budget, unique within its node. It appears in messages, and reloads match
    /// budgets by it.
    pub name: String,
    /// The limit of the budget.
    pub limit: BudgetLimit,
}

/// A configured node.
#[derive(Clone, Debug, PartialEq)]
pub struct BudgetNode {
    /// The path of the node, such as `district/school/class/person`. The parent must come earlier
    /// in the tree.
    pub path: String,
    /// The budgets of the node. A request must fit into all of them.
    pub budgets: Vec<Budget>,
}

/// All configured nodes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct BudgetTree {
    /// The nodes, each one after its parent.
    pub nodes: Vec<BudgetNode>,
    /// The number of routers, including this one, that share every budget evenly.
    pub instances: u32,
}

/// The error for an invalid node of a budget tree.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("node {node} of the tree is not valid")]
pub struct BudgetTreeError {
    /// The index of the node in the tree.
    pub node: usize,
    /// Why the node is not valid.
    #[source]
    pub problem: BudgetNodeError,
}

/// Why a node of a budget tree is not valid.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum BudgetNodeError {
    /// The tree has more than [`MAX_NODES`] nodes.
    #[error("the tree has more than {MAX_NODES} nodes")]
    TooManyNodes,
    /// The path has too many segments, or a segment is empty, too long or not printable ASCII.
    #[error("{0:?} is not a path of 1 to {MAX_DEPTH} plain names")]
    InvalidPath(String),
    /// The parent of the node is not among the earlier nodes.
    #[error("{path:?} stands under no node: name {parent:?} first")]
    NoParent {
        /// The path of the node.
        path: String,
        /// The path of the missing parent.
        parent: String,
    },
    /// An earlier node has the same path.
    #[error("{0:?} is listed twice")]
    DuplicatePath(String),
    /// The node has more than [`MAX_BUDGETS_PER_NODE`] budgets.
    #[error("{0:?} has more than {MAX_BUDGETS_PER_NODE} budgets")]
    TooManyBudgets(String),
    /// Two budgets of the node have the same name.
    #[error("{path:?} has two budgets named {budget:?}")]
    DuplicateBudget {
        /// The path of the node.
        path: String,
        /// The name that both budgets have.
        budget: String,
    },
    /// The limit of the named budget is above [`MAX_BUDGET_TOKENS`].
    #[error("the limit of budget {0:?} is above {MAX_BUDGET_TOKENS} tokens")]
    LimitTooLarge(String),
    /// The named budget is a token bucket whose refill time is zero.
    #[error("the refill time of budget {0:?} is zero")]
    ZeroRefillTime(String),
}

impl BudgetTree {
    /// Checks that the paths are well-formed and unique, that every parent comes before its
    /// children, and that the budgets of each node have unique names and valid limits.
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
            if budget.limit.has_zero_refill_time() {
                return Err(BudgetNodeError::ZeroRefillTime(budget.name.clone()));
            }
        }
        Ok(())
    }
}

fn check_path(path: &str, known_paths: &HashSet<&str>) -> Result<(), BudgetNodeError> {
    let depth = path.split('/').count();
    if depth > MAX_DEPTH || !path.split('/').all(is_valid_path_segment) {
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

/// Whether a text can be a segment of a path: printable ASCII without quotation marks.
fn is_valid_path_segment(segment: &str) -> bool {
    !segment.is_empty()
        && segment.len() <= MAX_PATH_SEGMENT_BYTES
        && segment
            .bytes()
            .all(|byte| byte.is_ascii_graphic() && byte != b'"')
}
