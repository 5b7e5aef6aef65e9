//! A budget that is reset at the start of each calendar period.

use super::BudgetStatus;
use crate::interface::{Span, Timestamp};
use crate::spend::{ClockReading, MicroTokens, Period, PeriodBounds};

/// The state of a calendar budget.
#[derive(Clone, Debug)]
pub(in crate::spend) struct CalendarBudget {
    limit: MicroTokens,
    period: Period,
    used: MicroTokens,
    /// The bounds of the current period.
    current: PeriodBounds,
}

impl CalendarBudget {
    /// Creates a budget of which nothing is used in the current period.
    pub fn new(limit: MicroTokens, period: &Period, now: ClockReading) -> CalendarBudget {
        CalendarBudget {
            limit,
            period: period.clone(),
            used: MicroTokens::ZERO,
            current: period.bounds(now.wall),
        }
    }

    /// The limit of each period.
    pub fn limit(&self) -> MicroTokens {
        self.limit
    }

    /// The amount that is used in the current period.
    pub fn used(&self) -> MicroTokens {
        self.used
    }

    /// Starts the next period once the wall clock has reached the end of the current one. If the
    /// clock is stepped back, the budget does not return to an earlier period, so the limit of a
    /// period is never granted twice.
    pub fn advance(&mut self, now: ClockReading) {
        if now.wall >= self.current.end {
            self.current = self.period.bounds(now.wall);
            self.used = MicroTokens::ZERO;
        }
    }

    /// The time until the next period, in which the whole limit is available again.
    pub fn time_to_next_period(&self, now: ClockReading) -> Span {
        self.current.end - now.wall
    }

    /// Adds an amount to the used amount.
    pub fn charge(&mut self, amount: MicroTokens) {
        self.used = self.used.saturating_add(amount);
    }

    /// Takes over the used amount of the previous budget, if both budgets have the same period or
    /// their current periods overlap.
    pub fn inherit(&mut self, previous: &CalendarBudget) {
        if self.period == previous.period {
            // The bounds are kept too. If the clock was stepped back just before the reload, new
            // bounds would be those of an earlier period, and the current one would start twice.
            self.current = previous.current;
            self.used = previous.used;
        } else if self.current.overlaps(&previous.current) {
            self.used = previous.used;
        }
    }

    /// Restores a persisted amount, unless it belongs to an earlier period.
    pub fn restore(&mut self, used: MicroTokens, as_of: Timestamp) {
        if as_of >= self.current.start {
            self.used = used;
        }
    }

    /// The state as it is reported to operators and clients.
    pub fn status(&self) -> BudgetStatus {
        BudgetStatus {
            limit: self.limit,
            used: self.used,
            refills_at: self.current.end,
            window: self.current.end - self.current.start,
        }
    }
}
