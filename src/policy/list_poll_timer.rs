//! When discovery is polled for the endpoint list, if the list must be requested. Time and random
//! draws are passed in as values. `membership` holds the list itself.

use crate::interface::{Settings, Span, Timestamp};

/// Time per router in the interval over which the polls of all routers are spread after a failure,
/// so that they don't all reach an already slow discovery service at the same time.
const SPREAD_PER_ROUTER: Span = Span::from_millis(5);
/// Maximum backoff after a failed poll, for any number of failures and any fleet size. A change
/// counts as notified 6 s after discovery can be reached: a poll that times out (1 s), two maximum
/// backoffs and another poll between them fit into this time.
const MAX_BACKOFF: Span = Span::from_millis(1_500);
/// Maximum delay of the first poll, for any staleness bound. With it, a process that has just
/// started also meets the bound of 6 s above.
const MAX_FIRST_DELAY: Span = Span::from_millis(2_500);
/// Maximum number of consecutive failures that double the backoff. The maximum backoff is at most
/// 1/2 of the staleness bound, and the minimum is at least 1/64 of the bound or equal to the
/// maximum, so five doublings reach the maximum.
const MAX_DOUBLINGS: u32 = 5;

/// The timer of a router's polls.
#[derive(Clone, Copy, Debug)]
pub(super) struct ListPollTimer {
    enabled: bool,
    min_backoff: Span,
    max_backoff: Span,
    consecutive_failures: u32,
    next: Option<Timestamp>,
}

impl ListPollTimer {
    /// Schedules the first poll within a quarter of the staleness bound and [`MAX_FIRST_DELAY`].
    /// The delay depends on `uniform`, a uniform draw from 0 to 1, so that routers that start
    /// together don't poll together.
    pub(super) fn new(settings: &Settings, uniform: f64, now: Timestamp) -> ListPollTimer {
        let staleness_micros = settings.staleness_bound.as_micros();
        let max_backoff = MAX_BACKOFF.min(Span::from_micros(staleness_micros / 2));
        let spread = (staleness_micros / 64)
            .max(SPREAD_PER_ROUTER.as_micros() * u64::from(settings.router_count));
        let max_first_delay = MAX_FIRST_DELAY.min(Span::from_micros(staleness_micros / 4));
        let first_delay = Span::from_secs_f64(uniform * max_first_delay.as_secs_f64());
        ListPollTimer {
            enabled: settings.endpoints_on_request,
            min_backoff: Span::from_micros(spread).min(max_backoff),
            max_backoff,
            consecutive_failures: 0,
            next: settings.endpoints_on_request.then_some(now + first_delay),
        }
    }

    /// Schedules the next poll after a poll failed or the watch broke. The backoff doubles with
    /// consecutive failures; its jitter is given by `uniform`, a uniform draw from 0 to 1.
    pub(super) fn poll_failed(&mut self, uniform: f64, now: Timestamp) {
        self.consecutive_failures = (self.consecutive_failures + 1).min(MAX_DOUBLINGS);
        let exponential =
            Span::from_micros(self.min_backoff.as_micros() << self.consecutive_failures);
        let backoff = exponential.min(self.max_backoff);
        let jittered = Span::from_secs_f64((0.5 + uniform / 2.0) * backoff.as_secs_f64());
        self.next = self.enabled.then_some(now + jittered);
    }

    /// Resets the backoff after discovery has answered.
    pub(super) fn poll_succeeded(&mut self) {
        self.consecutive_failures = 0;
    }

    /// Whether a poll is due. A due poll is removed, so that it is made only once.
    pub(super) fn take_due(&mut self, now: Timestamp) -> bool {
        self.next.take_if(|at| *at <= now).is_some()
    }

    /// When the next poll is due.
    pub(super) fn next(&self) -> Option<Timestamp> {
        self.next
    }
}

#[cfg(test)]
mod tests;
