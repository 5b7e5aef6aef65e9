//! Carries out the gateways' actions: draws the course of attempts and health checks, and sets
//! timers.

use rand::RngExt;

use crate::fleet::AttemptCourse;
use crate::in_flight::CurrentAttempt;
use crate::pending_event::{AttemptEnd, PendingEvent};
use crate::replies::Reply;
use crate::simulation::Simulation;
use crate::wire_codes::{CANCELLED, COMPLETED, TIMEOUT};

/// How long an attempt takes to end once it is cancelled, in microseconds.
const CANCELLATION_TIME: u64 = 1_000;

impl Simulation<'_> {
    /// Carries out one action of a gateway.
    pub(crate) fn carry_out(&mut self, reply: Reply) {
        match reply {
            Reply::SendAttempt {
                request,
                replica,
                timeout,
            } => self.start_attempt(request, &replica, timeout),
            Reply::CancelAttempt { request, attempt } => self.cancel_attempt(request, attempt),
            Reply::FinalAnswer { request } => self.finish(request),
            Reply::CheckHealth { gateway, replica } => self.check_health(gateway, replica),
            Reply::WatchEndpoints { gateway } => self.watching[gateway] = true,
            Reply::SetTimer {
                gateway,
                due_at,
                timer_id,
            } => {
                let timer = PendingEvent::TimerDue { gateway, timer_id };
                self.pending.push(due_at, timer);
            }
        }
    }

    /// Ends an attempt shortly, unless its stream has begun.
    fn cancel_attempt(&mut self, request: u32, attempt: u32) {
        let current = self.requests.get(&request).and_then(|known| known.current);
        let cancelled = CurrentAttempt {
            number: attempt,
            has_first_token: false,
        };
        if current == Some(cancelled) {
            let end = AttemptEnd {
                request,
                attempt,
                elapsed: CANCELLATION_TIME,
                outcome: CANCELLED,
                cached_tokens: 0,
                replica: String::new(),
            };
            let due_at = self.now + CANCELLATION_TIME;
            self.pending.push(due_at, PendingEvent::AttemptEnded(end));
        }
    }

    /// Takes a request's final answer.
    fn finish(&mut self, request: u32) {
        let Some(in_flight) = self.requests.get_mut(&request) else {
            return;
        };
        in_flight.rejected = true;
        if in_flight.current.is_none() {
            self.requests.remove(&request);
        }
    }

    fn check_health(&mut self, gateway: usize, replica: String) {
        let elapsed = self.random.random_range(1_000..30_000);
        let checked = PendingEvent::HealthChecked {
            gateway,
            replica,
            elapsed,
        };
        self.pending.push(self.now + elapsed, checked);
    }

    fn start_attempt(&mut self, request: u32, replica: &str, timeout: Option<u64>) {
        self.totals.attempts += 1;
        let Some(in_flight) = self.requests.get_mut(&request) else {
            return;
        };
        let attempt = in_flight.attempts;
        in_flight.attempts += 1;
        in_flight.current = Some(CurrentAttempt {
            number: attempt,
            has_first_token: false,
        });
        let Some(target) = self.fleet.find(replica) else {
            return;
        };
        target.in_flight += 1;
        let course = target.draw_attempt(
            in_flight.prompt_tokens,
            in_flight.output_tokens,
            &mut self.random,
        );
        let until_deadline = in_flight.expires_at.saturating_sub(self.now);
        let wait = timeout.unwrap_or(u64::MAX).min(until_deadline);
        if course.outcome == COMPLETED && course.first_token < wait {
            let first_token = PendingEvent::FirstToken {
                request,
                attempt,
                elapsed: course.first_token,
            };
            self.pending
                .push(self.now + course.first_token, first_token);
        }
        let (elapsed, outcome) = end_of(&course, wait);
        let end = AttemptEnd {
            request,
            attempt,
            elapsed,
            outcome,
            cached_tokens: course.cached_tokens,
            replica: replica.to_string(),
        };
        self.pending
            .push(self.now + elapsed, PendingEvent::AttemptEnded(end));
    }
}

/// After how many microseconds an attempt ends, and with which outcome, if its first token may
/// take `wait` microseconds.
fn end_of(course: &AttemptCourse, wait: u64) -> (u64, u32) {
    match course.outcome {
        COMPLETED if course.first_token >= wait => (wait, TIMEOUT),
        COMPLETED => (course.end, COMPLETED),
        failure => (course.first_token.min(wait) / 2, failure),
    }
}
