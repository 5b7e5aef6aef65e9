//! The usage of one budget of one node: how much of it is used, and when more is available.

mod calendar_budget;
mod token_bucket;

use calendar_budget::CalendarBudget;
use token_bucket::TokenBucket;

use super::{BudgetLimit, ClockReading, MicroTokens};
use crate::interface::{Span, Timestamp};

/// The wait that is reported if the amount would be available without the open reservations: they
/// end within about a second.
const RESERVATION_RETRY_AFTER: Span = Span::from_secs(1);

/// The state of a budget. Every operation except [`BudgetUsage::advance`] works on the state as of
/// the last call of `advance`.
#[derive(Clone, Debug)]
pub(super) enum BudgetUsage {
    /// A budget that is reset at the start of each calendar period.
    Calendar(CalendarBudget),
    /// A token bucket, which is refilled at a constant rate.
    Bucket(TokenBucket),
}

/// The state of a budget as it is reported to operators and clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BudgetStatus {
    /// The limit.
    pub limit: MicroTokens,
    /// The amount of the limit that is currently used, rounded up.
    pub used: MicroTokens,
    /// The wall clock time at which the next period begins or the bucket is full again.
    pub refills_at: Timestamp,
    /// The length of the period, or the time in which an empty bucket refills completely.
    pub window: Span,
}

/// Why an amount is not available.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Insufficient {
    /// The amount becomes available after this wait, unless other requests use it first.
    RetryAfter(Span),
    /// The amount is above the whole limit.
    AboveLimit,
}

impl Insufficient {
    /// The wait before a retry; `None` if the amount can never become available.
    pub fn retry_after(self) -> Option<Span> {
        match self {
            Insufficient::RetryAfter(wait) => Some(wait),
            Insufficient::AboveLimit => None,
        }
    }
}

/// The amount that a request used, split into the parts within and beyond its reservation.
#[derive(Clone, Copy, Debug)]
pub(super) struct UsedAmount {
    /// The part within the reservation.
    pub reserved: MicroTokens,
    /// The part beyond the reservation.
    pub excess: MicroTokens,
}

impl BudgetUsage {
    /// Creates a budget of which nothing is used. The limit is divided evenly among the routers
    /// that share it; `instances` is their number.
    pub fn new(limit: &BudgetLimit, instances: u32, now: ClockReading) -> BudgetUsage {
        let instances = u64::from(instances.max(1));
        match limit {
            BudgetLimit::PerPeriod { amount, period } => {
                let budget = CalendarBudget::new(*amount / instances, period, now);
                BudgetUsage::Calendar(budget)
            }
            BudgetLimit::TokenBucket {
                amount,
                refill_time,
            } => {
                let bucket = TokenBucket::new(*amount / instances, *refill_time, now);
                BudgetUsage::Bucket(bucket)
            }
        }
    }

    /// Updates the state to the current time.
    pub fn advance(&mut self, now: ClockReading) {
        match self {
            BudgetUsage::Calendar(budget) => budget.advance(now),
            BudgetUsage::Bucket(bucket) => bucket.advance(now),
        }
    }

    fn limit(&self) -> MicroTokens {
        match self {
            BudgetUsage::Calendar(budget) => budget.limit(),
            BudgetUsage::Bucket(bucket) => bucket.limit(),
        }
    }

    fn used(&self) -> MicroTokens {
        match self {
            BudgetUsage::Calendar(budget) => budget.used(),
            BudgetUsage::Bucket(bucket) => bucket.used(),
        }
    }

    /// Checks that an amount is available in addition to the used amount and `reserved`.
    pub fn check_available(
        &self,
        amount: MicroTokens,
        reserved: MicroTokens,
        now: ClockReading,
    ) -> Result<(), Insufficient> {
        let limit = self.limit();
        let used = self.used();
        let is_within_limit = |taken: MicroTokens| taken.saturating_add(amount) <= limit;
        if is_within_limit(used.saturating_add(reserved)) {
            return Ok(());
        }
        if amount > limit {
            return Err(Insufficient::AboveLimit);
        }
        if is_within_limit(used) {
            return Err(Insufficient::RetryAfter(RESERVATION_RETRY_AFTER));
        }
        Err(Insufficient::RetryAfter(match self {
            BudgetUsage::Calendar(budget) => budget.time_to_next_period(now),
            BudgetUsage::Bucket(bucket) => bucket.time_to_available(amount),
        }))
    }

    /// Charges the amount that a request used, and returns the part that was not charged. The
    /// excess over its reservation is charged only if the budget is within its limit without this
    /// excess, counting `reserved`, the amount of all other reservations.
    pub fn charge(&mut self, used: UsedAmount, reserved: MicroTokens) -> MicroTokens {
        let taken = self.used().saturating_add(reserved);
        let is_over_limit = taken.saturating_add(used.reserved) > self.limit();
        let total = used.reserved.saturating_add(used.excess);
        let charged = if is_over_limit { used.reserved } else { total };
        match self {
            BudgetUsage::Calendar(budget) => budget.charge(charged),
            BudgetUsage::Bucket(bucket) => bucket.charge(charged),
        }
        total - charged
    }

    /// Takes over the used amount of the previous budget with the same name, if both are of the
    /// same kind.
    pub fn inherit(&mut self, previous: &BudgetUsage) {
        match (self, previous) {
            (BudgetUsage::Calendar(budget), BudgetUsage::Calendar(previous)) => {
                budget.inherit(previous);
            }
            (BudgetUsage::Bucket(bucket), BudgetUsage::Bucket(previous)) => {
                bucket.inherit(previous);
            }
            _ => {}
        }
    }

    /// Restores a persisted state: the amount that was used as of `as_of` (Unix time). If the
    /// period has ended since, the next [`BudgetUsage::advance`] starts a new one.
    pub fn restore(&mut self, used: MicroTokens, as_of: Timestamp) {
        match self {
            BudgetUsage::Calendar(budget) => budget.restore(used, as_of),
            BudgetUsage::Bucket(bucket) => bucket.restore(used, as_of),
        }
    }

    /// The state as it is reported to operators and clients.
    pub fn status(&self, now: ClockReading) -> BudgetStatus {
        match self {
            BudgetUsage::Calendar(budget) => budget.status(),
            BudgetUsage::Bucket(bucket) => bucket.status(now),
        }
    }
}

#[cfg(test)]
mod tests;
