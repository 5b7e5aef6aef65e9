//! One budget of one node: how much of it is spent, and when there is more.

use super::{BudgetLimit, ClockReading, MicroTokens, Period};
use crate::interface::{Span, Timestamp};

/// A reservation ends within about so long: what it keeps from others is worth asking for again
/// then.
const SOON: Span = Span::from_secs(1);

/// A budget and its state.
#[derive(Clone, Debug)]
pub(super) enum Gauge {
    Each {
        limit: MicroTokens,
        period: Period,
        spent: MicroTokens,
        start: Timestamp,
        end: Timestamp,
    },
    Drip {
        limit: MicroTokens,
        refill_time: Span,
        /// In parts of a micro-token, `refill_time` of them to one: no refill is rounded.
        spent: u128,
        /// Until when the refill is reckoned in.
        at: Timestamp,
    },
}

/// What a gauge shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BudgetStatus {
    /// The limit.
    pub limit: MicroTokens,
    /// What is spent of it now.
    pub spent: MicroTokens,
    /// When it refills, or is full again, by the wall clock.
    pub refills_at: Timestamp,
    /// How long it takes from empty to full, or the whole period.
    pub window: Span,
}

/// Why there is no room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Short {
    /// There will be, after this.
    Until(Span),
    /// The limit itself is smaller.
    Never,
}

impl Gauge {
    /// A gauge of which nothing is spent. `part`: routers that share the limit evenly.
    pub fn new(limit: &BudgetLimit, part: u32, now: ClockReading) -> Gauge {
        let part = u64::from(part.max(1));
        match limit {
            BudgetLimit::PerPeriod { amount, period } => {
                let (start, end) = period.around(now.wall);
                Gauge::Each {
                    limit: amount / part,
                    period: period.clone(),
                    spent: 0,
                    start,
                    end,
                }
            }
            BudgetLimit::TokenBucket {
                amount,
                refill_time,
            } => Gauge::Drip {
                limit: amount / part,
                refill_time: *refill_time,
                spent: 0,
                at: now.monotonic,
            },
        }
    }

    /// Lets time pass. A period that has begun stays until the wall clock has passed its end, also
    /// where that was stepped back meanwhile: no period is given twice.
    pub fn advance(&mut self, now: ClockReading) {
        match self {
            Gauge::Each {
                period,
                spent,
                start,
                end,
                ..
            } => {
                if now.wall >= *end {
                    (*start, *end) = period.around(now.wall);
                    *spent = 0;
                }
            }
            Gauge::Drip {
                limit, spent, at, ..
            } => {
                let passed = now.monotonic - *at;
                *spent = spent.saturating_sub(u128::from(passed.as_micros()) * u128::from(*limit));
                *at = now.monotonic.max(*at);
            }
        }
    }

    /// The limit, and what is spent, rounded up.
    fn parts(&self) -> (MicroTokens, MicroTokens) {
        match self {
            Gauge::Each { limit, spent, .. } => (*limit, *spent),
            Gauge::Drip {
                limit,
                spent,
                refill_time,
                ..
            } => (
                *limit,
                spent
                    .div_ceil(u128::from(refill_time.as_micros()))
                    .min(u128::from(MicroTokens::MAX)) as MicroTokens,
            ),
        }
    }

    /// Whether there is room for `more` beside what is spent and `reserved`; time was let pass.
    pub fn room(
        &self,
        reserved: MicroTokens,
        more: MicroTokens,
        now: ClockReading,
    ) -> Result<(), Short> {
        let (limit, spent) = self.parts();
        let beyond = |taken: MicroTokens| taken.saturating_add(more).saturating_sub(limit);
        if beyond(spent.saturating_add(reserved)) == 0 {
            return Ok(());
        }
        if more > limit {
            return Err(Short::Never);
        }
        // where only reservations stand in the way they are soon over
        let short = beyond(spent);
        Err(Short::Until(match self {
            _ if short == 0 => SOON,
            Gauge::Each { end, .. } => *end - now.wall,
            Gauge::Drip {
                refill_time, spent, ..
            } => {
                let room = u128::from(limit - more) * u128::from(refill_time.as_micros());
                let wait = spent
                    .saturating_sub(room)
                    .div_ceil(u128::from(limit.max(1)));
                Span::from_micros(wait.min(u128::from(Span::MAX.as_micros())) as u64)
            }
        }))
    }

    /// Charges what an RPC used: its part within the reservation, and what is beyond it unless the
    /// budget is over its limit already, with `reserved` the others' reservations. Returns what was
    /// left uncharged.
    pub fn charge(
        &mut self,
        within: MicroTokens,
        beyond: MicroTokens,
        reserved: MicroTokens,
    ) -> MicroTokens {
        let (limit, spent) = self.parts();
        let over = spent.saturating_add(reserved).saturating_add(within) > limit;
        let charged = if over {
            within
        } else {
            within.saturating_add(beyond)
        };
        match self {
            Gauge::Each { spent, .. } => *spent = spent.saturating_add(charged),
            Gauge::Drip {
                spent, refill_time, ..
            } => {
                *spent += u128::from(charged) * u128::from(refill_time.as_micros());
            }
        }
        within.saturating_add(beyond) - charged
    }

    /// Takes over what an earlier gauge of this name had spent, where it goes by the same kind of
    /// period.
    pub fn inherit(&mut self, old: &Gauge) {
        match (self, old) {
            (
                Gauge::Each {
                    start,
                    end,
                    spent,
                    period,
                    ..
                },
                Gauge::Each {
                    start: s,
                    end: e,
                    spent: old,
                    period: p,
                    ..
                },
            ) if p == period || (*s < *end && *start < *e) => {
                // the same period goes on as it stood: guards against a clock that went back ahead
                // of the reload
                if p == period {
                    (*start, *end) = (*s, *e);
                }
                *spent = *old;
            }
            (
                Gauge::Drip {
                    spent,
                    at,
                    refill_time,
                    ..
                },
                Gauge::Drip {
                    spent: old,
                    at: then,
                    refill_time: was,
                    ..
                },
            ) => {
                (*spent, *at) = (
                    old.div_ceil(u128::from(was.as_micros())) * u128::from(refill_time.as_micros()),
                    *then,
                );
                if was == refill_time {
                    *spent = *old;
                }
            }
            _ => {}
        }
    }

    /// Brings back a state that was kept; a period that has ended since is begun anew by the next
    /// advance.
    pub fn restore(&mut self, kept: MicroTokens, since: Timestamp) {
        match self {
            Gauge::Each { start, spent, .. } if since >= *start => *spent = kept,
            Gauge::Each { .. } => {}
            Gauge::Drip {
                spent,
                at,
                refill_time,
                ..
            } => {
                (*spent, *at) = (
                    u128::from(kept) * u128::from(refill_time.as_micros()),
                    since,
                );
            }
        }
    }

    /// What it shows; time was let pass.
    pub fn status(&self, now: ClockReading) -> BudgetStatus {
        match *self {
            Gauge::Each {
                limit,
                spent,
                start,
                end,
                ..
            } => BudgetStatus {
                limit,
                spent,
                refills_at: end,
                window: end - start,
            },
            Gauge::Drip {
                limit,
                refill_time,
                spent,
                at,
            } => {
                let wait = spent.div_ceil(u128::from(limit.max(1)));
                let full_at =
                    at + Span::from_micros(wait.min(u128::from(Span::MAX.as_micros())) as u64);
                let refills_at = now.wall + (full_at - now.monotonic);
                BudgetStatus {
                    limit,
                    spent: self.parts().1,
                    refills_at,
                    window: refill_time,
                }
            }
        }
    }
}

#[cfg(test)]
mod tests;
