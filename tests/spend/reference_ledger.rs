//! A slow and obvious ledger: it adds up all reservations anew for every question.

use std::collections::BTreeMap;

use stilespan::spend::ReservationId;

use crate::fixtures::{HOUR, PATHS, REFILL_TIME, START, bucket_limit};

/// Units of a micro-token in a bucket: `REFILL_TIME` of them, so that no refill is rounded.
pub const BUCKET_UNITS: u128 = REFILL_TIME as u128;

/// A budget: what it charged, by exact sums.
#[derive(Clone, Default)]
pub struct ReferenceBudget {
    limit: u64,
    /// In micro-tokens, or in the units of a bucket.
    pub used: u128,
    /// The hour that is counted, or the time up to which the bucket is refilled.
    counted: u64,
}

/// The budgets of a node.
#[derive(Clone, Default)]
pub struct ReferenceNode {
    pub hourly: ReferenceBudget,
    pub bucket: ReferenceBudget,
}

/// A reservation at a node and all above it.
#[derive(Clone, Copy)]
pub struct ReferenceReservation {
    pub path: &'static str,
    pub amount: u64,
}

/// The reference.
pub struct ReferenceLedger {
    /// Both clocks, in microseconds.
    pub now: u64,
    pub nodes: BTreeMap<&'static str, ReferenceNode>,
    pub reservations: BTreeMap<ReservationId, ReferenceReservation>,
}

/// Whether a node stands on the path: above its end, or at it.
pub fn is_on_path(path: &str, node: &str) -> bool {
    path == node || path.starts_with(&format!("{node}/"))
}

impl ReferenceLedger {
    pub fn new(hourly_limits: &[u64; 6]) -> ReferenceLedger {
        let mut reference = ReferenceLedger {
            now: START,
            nodes: BTreeMap::new(),
            reservations: BTreeMap::new(),
        };
        reference.set_limits(hourly_limits);
        for node in reference.nodes.values_mut() {
            node.hourly.counted = START / HOUR;
            node.bucket.counted = START;
        }
        reference
    }

    pub fn set_limits(&mut self, hourly_limits: &[u64; 6]) {
        self.advance();
        for (path, limit) in PATHS.iter().zip(hourly_limits) {
            let node = self.nodes.entry(path).or_default();
            node.hourly.limit = *limit;
            node.bucket.limit = bucket_limit(*limit);
        }
    }

    /// Lets time pass: an hour begins once, and a bucket is refilled for time that it has not seen.
    pub fn advance(&mut self) {
        for ReferenceNode { hourly, bucket } in self.nodes.values_mut() {
            if self.now / HOUR > hourly.counted {
                hourly.counted = self.now / HOUR;
                hourly.used = 0;
            }
            let elapsed = u128::from(self.now.saturating_sub(bucket.counted));
            let refilled = elapsed * u128::from(bucket.limit);
            bucket.used = bucket.used.saturating_sub(refilled);
            bucket.counted = bucket.counted.max(self.now);
        }
    }

    /// What is reserved at a node and below it.
    pub fn reserved(&self, node: &str) -> u128 {
        self.reservations
            .values()
            .filter(|reservation| is_on_path(reservation.path, node))
            .map(|reservation| u128::from(reservation.amount))
            .sum()
    }

    /// Whether an amount is available at every node of the path.
    pub fn is_available(&mut self, path: &str, amount: u64) -> bool {
        self.advance();
        for (node, ReferenceNode { hourly, bucket }) in &self.nodes {
            if !is_on_path(path, node) {
                continue;
            }
            let taken = self.reserved(node) + u128::from(amount);
            if hourly.used + taken > u128::from(hourly.limit) {
                return false;
            }
            let level = bucket.used + taken * BUCKET_UNITS;
            if level > u128::from(bucket.limit) * BUCKET_UNITS {
                return false;
            }
        }
        true
    }

    pub fn settle(&mut self, id: ReservationId, used: u64) {
        self.advance();
        let Some(ReferenceReservation { path, amount }) = self.reservations.remove(&id) else {
            return;
        };
        for node in PATHS.iter().filter(|node| is_on_path(path, node)) {
            let reserved = self.reserved(node);
            let ReferenceNode { hourly, bucket } = self.nodes.get_mut(node).unwrap();
            let within = u128::from(used.min(amount));
            for (budget, unit) in [(hourly, 1), (bucket, BUCKET_UNITS)] {
                let taken = budget.used + (reserved + within) * unit;
                let is_over = taken > u128::from(budget.limit) * unit;
                let charged = if is_over { within } else { u128::from(used) };
                budget.used += charged * unit;
            }
        }
    }
}
