//! When discovery is polled for the endpoint list, where the list has to be requested. Pure: time
//! and random draws come in as values. The list itself belongs to `membership`.

use crate::interface::{Settings, Span, Timestamp};

/// The time for each router's poll, in the interval over which all routers' polls are spread after
/// a failure. Value: so that all polls don't reach a discovery service, which is late already, at
/// once.
const SPREAD_PER_ROUTER: Span = Span::from_millis(5);
/// The longest backoff after a failed poll, however many have failed and however large the fleet.
/// Value: a change counts as notified 6 s after discovery could be reached: a poll that fails late
/// (1 s), two such backoffs and another poll between them fit in.
const MAX_BACKOFF: Span = Span::from_millis(1_500);
/// The latest first poll, whatever time the settings allow. Value: the bound above is met by a
/// process that has just started too.
const MAX_FIRST_DELAY: Span = Span::from_millis(2_500);
/// Consecutive failures that still double the backoff. Value: the least backoff is 1/64 of the
/// time allowed or more and the longest 1/2 of it or less, so five doublings reach the longest.
const MAX_DOUBLINGS: u32 = 5;

/// The timer of one router's polls.
#[derive(Clone, Copy, Debug)]
pub(super) struct ListPollTimer {
    enabled: bool,
    min_backoff: Span,
    max_backoff: Span,
    consecutive_failures: u32,
    next: Option<Timestamp>,
}

impl ListPollTimer {
    /// The first poll comes within a quarter of the time allowed and [`MAX_FIRST_DELAY`], by a
    /// uniform draw from 0 to 1, so that routers which start together don't poll together.
    pub(super) fn new(settings: &Settings, uniform: f64, now: Timestamp) -> ListPollTimer {
        let allowed = settings.staleness_bound.as_micros();
        let max_backoff = MAX_BACKOFF.min(Span::from_micros(allowed / 2));
        let spread =
            (allowed / 64).max(SPREAD_PER_ROUTER.as_micros() * u64::from(settings.router_count));
        let max_first_delay = MAX_FIRST_DELAY.min(Span::from_micros(allowed / 4));
        let first_delay = Span::from_secs_f64(uniform * max_first_delay.as_secs_f64());
        ListPollTimer {
            enabled: settings.endpoints_on_request,
            min_backoff: Span::from_micros(spread).min(max_backoff),
            max_backoff,
            consecutive_failures: 0,
            next: settings.endpoints_on_request.then_some(now + first_delay),
        }
    }

    /// A poll failed or the watch broke: the next poll is due after a backoff that doubles with
    /// consecutive failures, with jitter by a uniform draw from 0 to 1.
    pub(super) fn poll_failed(&mut self, uniform: f64, now: Timestamp) {
        self.consecutive_failures = (self.consecutive_failures + 1).min(MAX_DOUBLINGS);
        let exponential =
            Span::from_micros(self.min_backoff.as_micros() << self.consecutive_failures);
        let backoff = exponential.min(self.max_backoff);
        let jittered = Span::from_secs_f64((0.5 + uniform / 2.0) * backoff.as_secs_f64());
        self.next = self.enabled.then_some(now + jittered);
    }

    /// Discovery has answered.
    pub(super) fn poll_succeeded(&mut self) {
        self.consecutive_failures = 0;
    }

    /// Whether a poll is due; it counts as made.
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
