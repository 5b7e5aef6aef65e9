//! A budget that begins anew with each calendar period.

use super::BudgetStatus;
use crate::interface::{Span, Timestamp};
use crate::spend::{ClockReading, MicroTokens, Period, PeriodBounds};

/// The state of a calendar budget.
#[derive(Clone, Debug)]
pub(in crate::spend) struct CalendarBudget {
    limit: MicroTokens,
    period: Period,
    used: MicroTokens,
    /// The present period.
    present: PeriodBounds,
}

impl CalendarBudget {
    /// A budget of which nothing is used in the present period.
    pub fn new(limit: MicroTokens, period: &Period, now: ClockReading) -> CalendarBudget {
        CalendarBudget {
            limit,
            period: period.clone(),
            used: MicroTokens::ZERO,
            present: period.bounds(now.wall),
        }
    }

    /// The limit of each period.
    pub fn limit(&self) -> MicroTokens {
        self.limit
    }

    /// The amount that is used in the present period.
    pub fn used(&self) -> MicroTokens {
        self.used
    }

    /// Begins the next period once the wall clock has passed the end of the present one. A clock
    /// that is stepped back does not bring an earlier period back, so that none is given twice.
    pub fn advance(&mut self, now: ClockReading) {
        if now.wall >= self.present.end {
            self.present = self.period.bounds(now.wall);
            self.used = MicroTokens::ZERO;
        }
    }

    /// The time until the whole limit is available again.
    pub fn time_to_next_period(&self, now: ClockReading) -> Span {
        self.present.end - now.wall
    }

    /// Spends an amount.
    pub fn charge(&mut self, amount: MicroTokens) {
        self.used = self.used.saturating_add(amount);
    }

    /// Takes over the used amount where the periods are the same or overlap.
    pub fn inherit(&mut self, previous: &CalendarBudget) {
        if self.period == previous.period {
            // the bounds stand too: the clock may have been stepped back just before the reload,
            // which must not begin the period again
            self.present = previous.present;
            self.used = previous.used;
        } else if self.present.overlaps(&previous.present) {
            self.used = previous.used;
        }
    }

    /// Restores a persisted amount, unless it is of an earlier period.
    pub fn restore(&mut self, used: MicroTokens, as_of: Timestamp) {
        if as_of >= self.present.start {
            self.used = used;
        }
    }

    /// The state as operators and clients see it.
    pub fn status(&self) -> BudgetStatus {
        BudgetStatus {
            limit: self.limit,
            used: self.used,
            refills_at: self.present.end,
            window: self.present.end - self.present.start,
        }
    }
}
