//! A budget that is refilled at a constant rate.

use super::BudgetStatus;
use crate::interface::{Span, Timestamp};
use crate::spend::{ClockReading, MicroTokens};

/// The state of a token bucket. It is refilled by the monotonic clock.
#[derive(Clone, Debug)]
pub(in crate::spend) struct TokenBucket {
    limit: MicroTokens,
    refill_time: Span,
    /// The used amount, in units of one micro-token divided by the number of microseconds in
    /// `refill_time`. One microsecond refills exactly `limit` units, so refills are never rounded.
    used_units: u128,
    /// The monotonic time up to which the bucket has been refilled.
    refilled_at: Timestamp,
}

impl TokenBucket {
    /// Creates a full bucket. The refill time must be greater than zero.
    pub fn new(limit: MicroTokens, refill_time: Span, now: ClockReading) -> TokenBucket {
        TokenBucket {
            limit,
            refill_time,
            used_units: 0,
            refilled_at: now.monotonic,
        }
    }

    /// The capacity of the bucket.
    pub fn limit(&self) -> MicroTokens {
        self.limit
    }

    /// The amount that has been used and not yet refilled, rounded up.
    pub fn used(&self) -> MicroTokens {
        let used = self.used_units.div_ceil(self.units_per_micro_token());
        MicroTokens::new(u64::try_from(used).unwrap_or(u64::MAX))
    }

    fn units_per_micro_token(&self) -> u128 {
        u128::from(self.refill_time.as_micros())
    }

    /// Refills the bucket for the time since the last refill.
    pub fn advance(&mut self, now: ClockReading) {
        let elapsed = now.monotonic - self.refilled_at;
        let refilled = u128::from(elapsed.as_micros()) * u128::from(self.limit);
        self.used_units = self.used_units.saturating_sub(refilled);
        self.refilled_at = now.monotonic.max(self.refilled_at);
    }

    /// The time until an amount is available in addition to the used amount. The amount must not be
    /// above the limit.
    pub fn time_to_available(&self, amount: MicroTokens) -> Span {
        let allowed = u128::from(self.limit - amount) * self.units_per_micro_token();
        self.time_to_refill(self.used_units.saturating_sub(allowed))
    }

    /// The time in which this number of units is refilled, rounded up to a microsecond.
    fn time_to_refill(&self, units: u128) -> Span {
        // A limit of zero refills nothing. It is treated as 1 because the wait must be finite.
        let units_per_microsecond = u128::from(self.limit).max(1);
        let microseconds = units.div_ceil(units_per_microsecond);
        Span::from_micros(microseconds.min(u128::from(Span::MAX.as_micros())) as u64)
    }

    /// Adds an amount to the used amount.
    pub fn charge(&mut self, amount: MicroTokens) {
        self.used_units += u128::from(amount) * self.units_per_micro_token();
    }

    /// Takes over the used amount of the previous bucket. If the refill time is the same, the
    /// amount stays exact; otherwise it is rounded up to a micro-token.
    pub fn inherit(&mut self, previous: &TokenBucket) {
        self.used_units = if self.refill_time == previous.refill_time {
            previous.used_units
        } else {
            let used = previous
                .used_units
                .div_ceil(previous.units_per_micro_token());
            used * self.units_per_micro_token()
        };
        self.refilled_at = previous.refilled_at;
    }

    /// Restores a persisted amount that was used as of `as_of`.
    pub fn restore(&mut self, used: MicroTokens, as_of: Timestamp) {
        self.used_units = u128::from(used) * self.units_per_micro_token();
        self.refilled_at = as_of;
    }

    /// The state as it is reported to operators and clients.
    pub fn status(&self, now: ClockReading) -> BudgetStatus {
        let full_at = self.refilled_at + self.time_to_refill(self.used_units);
        BudgetStatus {
            limit: self.limit,
            used: self.used(),
            refills_at: now.wall + (full_at - now.monotonic),
            window: self.refill_time,
        }
    }
}
