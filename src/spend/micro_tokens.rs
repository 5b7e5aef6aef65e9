//! The unit of budgets and prices.

use std::fmt;
use std::ops::{Add, AddAssign, Div, Sub, SubAssign};

use serde::{Deserialize, Serialize};

/// An amount of a budget, in millionths of a token at the price of 1. Prices use the same unit, so
/// every sum is a whole number and rounding errors do not accumulate.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct MicroTokens(u64);

impl MicroTokens {
    /// The amount of zero.
    pub const ZERO: MicroTokens = MicroTokens(0);
    /// The maximum amount, which saturating operations return on overflow.
    pub const MAX: MicroTokens = MicroTokens(u64::MAX);
    /// The number of millionths in a whole token.
    pub const PER_TOKEN: u64 = 1_000_000;

    /// Creates an amount from millionths of a token.
    pub const fn new(micro_tokens: u64) -> MicroTokens {
        MicroTokens(micro_tokens)
    }

    /// Creates an amount from whole tokens, at most `u64::MAX / PER_TOKEN`.
    pub const fn from_tokens(tokens: u64) -> MicroTokens {
        MicroTokens(tokens * MicroTokens::PER_TOKEN)
    }

    /// The amount in millionths of a token.
    pub const fn as_u64(self) -> u64 {
        self.0
    }

    /// The amount in whole tokens, rounded down.
    pub const fn tokens_rounded_down(self) -> u64 {
        self.0 / MicroTokens::PER_TOKEN
    }

    /// The amount in whole tokens, rounded up.
    pub const fn tokens_rounded_up(self) -> u64 {
        self.0.div_ceil(MicroTokens::PER_TOKEN)
    }

    /// The sum, at most [`MicroTokens::MAX`].
    pub const fn saturating_add(self, other: MicroTokens) -> MicroTokens {
        MicroTokens(self.0.saturating_add(other.0))
    }

    /// The difference, at least zero.
    pub const fn saturating_sub(self, other: MicroTokens) -> MicroTokens {
        MicroTokens(self.0.saturating_sub(other.0))
    }

    /// The product, at most [`MicroTokens::MAX`].
    pub const fn saturating_mul(self, factor: u64) -> MicroTokens {
        MicroTokens(self.0.saturating_mul(factor))
    }

    /// The difference; `None` if it would be negative.
    pub fn checked_sub(self, other: MicroTokens) -> Option<MicroTokens> {
        self.0.checked_sub(other.0).map(MicroTokens)
    }
}

impl Add for MicroTokens {
    type Output = MicroTokens;

    fn add(self, other: MicroTokens) -> MicroTokens {
        MicroTokens(self.0 + other.0)
    }
}

impl AddAssign for MicroTokens {
    fn add_assign(&mut self, other: MicroTokens) {
        self.0 += other.0;
    }
}

impl Sub for MicroTokens {
    type Output = MicroTokens;

    fn sub(self, other: MicroTokens) -> MicroTokens {
        MicroTokens(self.0 - other.0)
    }
}

impl SubAssign for MicroTokens {
    fn sub_assign(&mut self, other: MicroTokens) {
        self.0 -= other.0;
    }
}

impl Div<u64> for MicroTokens {
    type Output = MicroTokens;

    fn div(self, divisor: u64) -> MicroTokens {
        MicroTokens(self.0 / divisor)
    }
}

impl From<MicroTokens> for u128 {
    fn from(amount: MicroTokens) -> u128 {
        u128::from(amount.0)
    }
}

/// The number of millionths, without a unit.
impl fmt::Display for MicroTokens {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
