//! Readiness and load of the core, for front ends and for work that yields to interactive requests.
//! This module only counts; the readers of the counters decide what to do.

use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

/// The total time that interactive requests have waited for their first tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FirstTokenWaits {
    /// Requests whose first token has arrived.
    pub count: u64,
    /// The sum of their waits, in microseconds.
    pub total_micros: u64,
}

/// Whether the core is ready, and how busy it is with interactive requests.
#[derive(Debug, Default)]
pub struct CoreLoad {
    ready: AtomicBool,
    in_flight: AtomicUsize,
    rejected: AtomicU64,
    first_tokens: AtomicU64,
    waited_micros: AtomicU64,
}

impl CoreLoad {
    /// Whether the core has received an endpoint list.
    pub fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Relaxed)
    }

    /// Interactive requests in flight now.
    pub fn interactive_in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Interactive requests that were rejected or failed so far.
    pub fn interactive_rejected(&self) -> u64 {
        self.rejected.load(Ordering::Relaxed)
    }

    /// The waits of interactive requests for their first tokens so far.
    pub fn first_token_waits(&self) -> FirstTokenWaits {
        FirstTokenWaits {
            count: self.first_tokens.load(Ordering::Relaxed),
            total_micros: self.waited_micros.load(Ordering::Relaxed),
        }
    }

    pub(super) fn set_ready(&self) {
        self.ready.store(true, Ordering::Relaxed);
    }

    pub(super) fn record_first_token(&self, waited: Duration) {
        self.first_tokens.fetch_add(1, Ordering::Relaxed);
        self.waited_micros
            .fetch_add(waited.as_micros() as u64, Ordering::Relaxed);
    }

    pub(super) fn request_opened(&self) {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
    }

    pub(super) fn request_closed(&self) {
        self.in_flight.fetch_sub(1, Ordering::Relaxed);
    }

    pub(super) fn record_rejection(&self) {
        self.rejected.fetch_add(1, Ordering::Relaxed);
    }
}
