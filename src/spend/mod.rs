//! Token budgets of a tree of nodes (districts, their schools, classes and persons), and how much
//! of each budget is used.
//!
//! A node can have several budgets. A budget is either an amount for each hour, day, week or term,
//! or a token bucket. When a request is admitted, it reserves an amount (its maximum cost, or the
//! cost of the prompt and of the first part of the answer) at its own node and at every ancestor up
//! to the root, or at none of them ([`Ledger::reserve`]). If the answer exceeds this amount, the
//! request reserves more ([`Ledger::extend`]). When the request ends, the amount that it used is
//! charged and the remaining reservation becomes available again ([`Ledger::settle`],
//! [`Ledger::release`]).
//!
//! For every budget, `used + reserved` never exceeds the limit by more than the amount that one
//! request used beyond its own reservation. A step of the wall clock, forward or back, never starts
//! the same period twice, and token buckets are refilled by the monotonic clock. A reservation ends
//! exactly once. A request that does not fit is rejected immediately, with the time after which it
//! can be retried.
//!
//! The module does no I/O and reads no clock: callers pass the time as a [`ClockReading`]. It does
//! not depend on API keys, models or hosts, and it queues nothing. Routers share no state: each one
//! uses only its share of every budget ([`BudgetTree::instances`]).
//!
//! Amounts and prices are [`MicroTokens`].

mod budget_tree;
mod budget_usage;
mod clock_reading;
mod ledger;
mod micro_tokens;
mod period;
mod price;

pub use budget_tree::{
    Budget, BudgetLimit, BudgetNode, BudgetNodeError, BudgetTree, BudgetTreeError,
};
pub use budget_usage::BudgetStatus;
pub use clock_reading::ClockReading;
pub use ledger::{
    BudgetExceeded, BudgetState, Charge, Ledger, NamedStatus, NodeId, NodeState, NodeUsage,
    ReservationId,
};
pub use micro_tokens::MicroTokens;
pub use period::{Period, PeriodBounds, PeriodLength};
pub use price::Price;

/// The maximum limit of a budget, in tokens. It keeps every sum far below the 64-bit maximum.
pub const MAX_BUDGET_TOKENS: u64 = 1_000_000_000_000;
/// The maximum price of a token.
pub const MAX_TOKEN_PRICE: MicroTokens = MicroTokens::from_tokens(1_000);
/// The maximum number of levels of a tree: district, school, class, person.
pub const MAX_DEPTH: usize = 4;
/// The maximum number of nodes in a tree.
pub const MAX_NODES: usize = 200_000;
/// The maximum number of budgets of a node.
pub const MAX_BUDGETS_PER_NODE: usize = 8;
