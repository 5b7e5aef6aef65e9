//! The usage of one budget of one node: how much of it is used, and when more is available.

mod calendar_budget;
mod token_bucket;

use calendar_budget::CalendarBudget;
use token_bucket::TokenBucket;

use super::{BudgetLimit, ClockReading, MicroTokens};
use crate::interface::{Span, Timestamp};

/// The wait that is given where only reservations are in the way: they end within about a second.
const RESERVATION_WAIT: Span = Span::from_secs(1);

/// The state of a budget. Every operation except [`BudgetUsage::advance`] takes the state as of the
/// last `advance`.
#[derive(Clone, Debug)]
pub(super) enum BudgetUsage {
    /// A budget that begins anew with each calendar period.
    Calendar(CalendarBudget),
    /// A budget that is refilled at a constant rate.
    Bucket(TokenBucket),
}

/// A budget as operators and clients see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BudgetStatus {
    /// The limit.
    pub limit: MicroTokens,
    /// The amount that is used of it now, rounded up.
    pub used: MicroTokens,
    /// When the next period begins, or the bucket is full again, by the wall clock.
    pub refills_at: Timestamp,
    /// The length of the period, or the time from an empty bucket to a full one.
    pub window: Span,
}

/// Why an amount is not available.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Insufficient {
    /// It is available after this wait, unless others take it.
    RetryAfter(Span),
    /// It is larger than the whole limit.
    AboveLimit,
}

impl Insufficient {
    /// The wait before a retry; none where the amount is never available.
    pub fn retry_after(self) -> Option<Span> {
        match self {
            Insufficient::RetryAfter(wait) => Some(wait),
            Insufficient::AboveLimit => None,
        }
    }
}

/// An amount that was used, relative to its reservation.
#[derive(Clone, Copy, Debug)]
pub(super) struct UsedAmount {
    /// The part within the reservation.
    pub reserved: MicroTokens,
    /// The part beyond it.
    pub excess: MicroTokens,
}

impl BudgetUsage {
    /// A budget of which nothing is used. The limit is divided evenly by the number of routers
    /// that share it.
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

    /// Brings the state up to the present time.
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

    /// Checks that an amount is available beside what is used and what is `reserved`.
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
            return Err(Insufficient::RetryAfter(RESERVATION_WAIT));
        }
        Err(Insufficient::RetryAfter(match self {
            BudgetUsage::Calendar(budget) => budget.time_to_next_period(now),
            BudgetUsage::Bucket(bucket) => bucket.time_to_available(amount),
        }))
    }

    /// Charges what a request used. The part beyond its reservation is charged only while the
    /// budget stays within its limit beside `reserved`, the other reservations; returns what is not
    /// charged.
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

    /// Takes over what an earlier budget of the same name had used, where both are of the same
    /// kind.
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

    /// Restores a persisted state: the amount that was used as of `as_of` (Unix time). A period
    /// that has ended since begins anew with the next [`BudgetUsage::advance`].
    pub fn restore(&mut self, used: MicroTokens, as_of: Timestamp) {
        match self {
            BudgetUsage::Calendar(budget) => budget.restore(used, as_of),
            BudgetUsage::Bucket(bucket) => bucket.restore(used, as_of),
        }
    }

    /// The state as operators and clients see it.
    pub fn status(&self, now: ClockReading) -> BudgetStatus {
        match self {
            BudgetUsage::Calendar(budget) => budget.status(),
            BudgetUsage::Bucket(bucket) => bucket.status(now),
        }
    }
}

#[cfg(test)]
mod tests;
