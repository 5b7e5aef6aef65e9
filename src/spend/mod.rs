//! Spending: what a district, its schools, their classes and persons may use of the models, and
//! what they have used.
//!
//! A tree of nodes, each with any number of budgets (so many tokens an hour, day, week or term; or
//! a rate with a burst). An RPC reserves at its admission what it may come to, at every node from
//! its own up to the root or at none ([`Ledger::reserve`]); a stream that goes on beyond that
//! reserves more ([`Ledger::extend`]); at its end what was used is charged and the rest is free
//! again ([`Ledger::settle`], [`Ledger::release`]).
//!
//! **What it promises.** At every budget `spent + reserved` is at most the limit and what one RPC
//! used beyond its own reservation; a period begins once, whichever way the wall clock is stepped;
//! a refill goes by the monotonic clock; a reservation ends exactly once; what is refused is
//! refused at once and says when to come back.
//!
//! **What it never does.** No I/O and no clock: time is a value ([`ClockReading`]). It knows neither keys
//! nor models nor hosts, and it holds nothing back. Several routers share nothing: each is given
//! its part of every budget ([`BudgetTree::instances`]).
//!
//! Amounts are [`MicroTokens`]: millionths of a token at the price of 1. Prices count in the same unit
//! ([`Price`]), so that sums are whole numbers and no rounding ever adds up.

mod clock_reading;
mod gauge;
mod ledger;
mod period;

pub use clock_reading::ClockReading;
pub use gauge::BudgetStatus;
pub use ledger::{BudgetExceeded, Charge, Ledger, NodeId, NodeState, NodeUsage, ReservationId};
pub use period::{Period, PeriodLength};

use crate::interface::Span;

/// Millionths of a token.
pub type MicroTokens = u64;

/// A token at the price of 1, in [`MicroTokens`].
pub const MICRO_TOKENS_PER_TOKEN: MicroTokens = 1_000_000;

/// The most that a budget may hold, in tokens: keeps every sum far within 64 bits.
pub const MAX_BUDGET_TOKENS: u64 = 1_000_000_000_000;
/// The dearest token, in [`MicroTokens`].
pub const MAX_TOKEN_PRICE: MicroTokens = 1_000 * MICRO_TOKENS_PER_TOKEN;
/// Nodes above one another at the most: district, school, class, person.
pub const MAX_DEPTH: usize = 4;
/// Nodes at the most.
pub const MAX_NODES: usize = 200_000;
/// Budgets of a node at the most.
pub const MAX_BUDGETS_PER_NODE: usize = 8;

/// What a token costs, by direction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Price {
    /// A token of the prompt.
    pub per_prompt_token: MicroTokens,
    /// A token of the answer.
    pub per_output_token: MicroTokens,
}

impl Default for Price {
    fn default() -> Price {
        Price {
            per_prompt_token: MICRO_TOKENS_PER_TOKEN,
            per_output_token: MICRO_TOKENS_PER_TOKEN,
        }
    }
}

impl Price {
    /// What so many tokens cost; saturates, which no believable count reaches.
    pub fn cost(&self, prompt: u64, answer: u64) -> MicroTokens {
        self.per_prompt_token
            .saturating_mul(prompt)
            .saturating_add(self.per_output_token.saturating_mul(answer))
    }

    /// How many tokens of an answer an amount pays for, beside so many of the prompt.
    pub fn affordable_output_tokens(&self, amount: MicroTokens, prompt: u64) -> u64 {
        amount
            .saturating_sub(self.cost(prompt, 0))
            .checked_div(self.per_output_token)
            .unwrap_or(u64::MAX)
    }
}

/// How much may be used.
#[derive(Clone, Debug, PartialEq)]
pub enum BudgetLimit {
    /// So much in each period; what is left at its end is lost.
    PerPeriod {
        /// How much.
        amount: MicroTokens,
        /// The period.
        period: Period,
    },
    /// So much at once, refilled evenly.
    TokenBucket {
        /// How much at once: the burst.
        amount: MicroTokens,
        /// How long an empty one takes to be full again.
        refill_time: Span,
    },
}

/// A budget of a node.
#[derive(Clone, Debug, PartialEq)]
pub struct Budget {
    /// Its name among its node's, for messages and reloads.
    pub name: String,
    /// How much.
    pub limit: BudgetLimit,
}

/// A node as it is configured.
#[derive(Clone, Debug, PartialEq)]
pub struct BudgetNode {
    /// Its path, `district/school/class/person`; the parent's comes earlier in the list.
    pub path: String,
    /// Its budgets.
    pub budgets: Vec<Budget>,
}

/// All nodes, parents first.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct BudgetTree {
    /// The nodes.
    pub nodes: Vec<BudgetNode>,
    /// Routers that share every budget evenly, this one among them.
    pub instances: u32,
}

/// What is wrong with a tree.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BudgetTreeError {
    /// The node's place in the list.
    pub node: usize,
    /// What it is.
    pub problem: String,
}

impl BudgetTree {
    /// Checks that paths are well-formed, parents come first, names differ and amounts are in
    /// range.
    pub fn check(&self) -> Result<(), BudgetTreeError> {
        let mut known = std::collections::HashSet::new();
        for (node, n) in self.nodes.iter().enumerate() {
            let fault = |problem: String| Err(BudgetTreeError { node, problem });
            if node >= MAX_NODES {
                return fault(format!("over {MAX_NODES} nodes"));
            }
            let parts: Vec<&str> = n.path.split('/').collect();
            let plain = |p: &&str| {
                !p.is_empty()
                    && p.len() <= 64
                    && p.bytes().all(|b| b.is_ascii_graphic() && b != b'"')
            };
            if parts.len() > MAX_DEPTH || !parts.iter().all(plain) {
                return fault(format!(
                    "{:?} is no path of 1 to {MAX_DEPTH} plain names",
                    n.path
                ));
            }
            if let Some((parent, _)) = n.path.rsplit_once('/')
                && !known.contains(parent)
            {
                return fault(format!(
                    "{:?} stands under no node: name {parent:?} first",
                    n.path
                ));
            }
            if !known.insert(n.path.as_str()) {
                return fault(format!("{:?} stands there twice", n.path));
            }
            if n.budgets.len() > MAX_BUDGETS_PER_NODE {
                return fault(format!(
                    "{:?} has over {MAX_BUDGETS_PER_NODE} budgets",
                    n.path
                ));
            }
            for (k, budget) in n.budgets.iter().enumerate() {
                if n.budgets[..k].iter().any(|b| b.name == budget.name) {
                    return fault(format!(
                        "{:?} has two budgets named {:?}",
                        n.path, budget.name
                    ));
                }
                let (BudgetLimit::PerPeriod { amount, .. }
                | BudgetLimit::TokenBucket { amount, .. }) = budget.limit;
                if amount > MAX_BUDGET_TOKENS * MICRO_TOKENS_PER_TOKEN {
                    return fault(format!(
                        "{:?} is over {MAX_BUDGET_TOKENS} tokens",
                        budget.name
                    ));
                }
                if matches!(
                    budget.limit,
                    BudgetLimit::TokenBucket {
                        refill_time: Span::ZERO,
                        ..
                    }
                ) {
                    return fault(format!("{:?} refills in no time", budget.name));
                }
            }
        }
        Ok(())
    }
}
