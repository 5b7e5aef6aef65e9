//! Spending: the token budgets of a tree of nodes (districts, their schools, classes and persons),
//! and what has been used of them.
//!
//! Each node has any number of budgets: an amount for every hour, day, week or term, or a token
//! bucket. A request reserves its greatest cost when it is admitted, at every node from its own up
//! to the root or at none ([`Ledger::reserve`]). An answer that goes on beyond that reserves more
//! ([`Ledger::extend`]). When the request has ended, what it used is charged and the rest of the
//! reservation is available again ([`Ledger::settle`], [`Ledger::release`]).
//!
//! At every budget `used + reserved` is at most the limit and what one request used beyond its own
//! reservation. A period begins once, whichever way the wall clock is stepped, and a bucket is
//! refilled by the monotonic clock. A reservation ends exactly once. A request that does not fit is
//! rejected at once with the time after which it can be retried.
//!
//! The module does no I/O and reads no clock: time is a value ([`ClockReading`]). It knows neither
//! API keys nor models nor hosts, and queues nothing. Several routers share no state: each is given
//! its part of every budget ([`BudgetTree::instances`]).
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

/// The largest limit of a budget, in tokens. It keeps every sum far within 64 bits.
pub const MAX_BUDGET_TOKENS: u64 = 1_000_000_000_000;
/// The highest price of a token.
pub const MAX_TOKEN_PRICE: MicroTokens = MicroTokens::from_tokens(1_000);
/// The most levels of a tree: district, school, class, person.
pub const MAX_DEPTH: usize = 4;
/// The most nodes of a tree.
pub const MAX_NODES: usize = 200_000;
/// The most budgets of a node.
pub const MAX_BUDGETS_PER_NODE: usize = 8;
