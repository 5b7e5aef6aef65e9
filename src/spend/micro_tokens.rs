//! The unit in which budgets and prices are counted.

use std::fmt;
use std::ops::{Add, AddAssign, Div, Sub, SubAssign};

use serde::{Deserialize, Serialize};

/// An amount of a budget in millionths of a token at the price of 1. Prices count in the same unit,
/// so that every sum is a whole number and no rounding adds up.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct MicroTokens(u64);

impl MicroTokens {
    /// Nothing.
    pub const ZERO: MicroTokens = MicroTokens(0);
    /// The largest amount that can be represented; saturating operations end there.
    pub const MAX: MicroTokens = MicroTokens(u64::MAX);
    /// Millionths in a whole token.
    pub const PER_TOKEN: u64 = 1_000_000;

    /// An amount given in millionths of a token.
    pub const fn new(micro_tokens: u64) -> MicroTokens {
        MicroTokens(micro_tokens)
    }

    /// An amount given in whole tokens, which must be at most `u64::MAX / PER_TOKEN`.
    pub const fn from_tokens(tokens: u64) -> MicroTokens {
        MicroTokens(tokens * MicroTokens::PER_TOKEN)
    }

    /// The amount in millionths of a token.
    pub const fn as_u64(self) -> u64 {
        self.0
    }

    /// The whole tokens that the amount contains.
    pub const fn tokens_rounded_down(self) -> u64 {
        self.0 / MicroTokens::PER_TOKEN
    }

    /// The fewest whole tokens that contain the amount.
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

    /// The difference; none where it would be below zero.
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
