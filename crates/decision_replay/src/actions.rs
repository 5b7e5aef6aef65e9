//! Applies the routers' actions: draws how attempts and health checks proceed, and sets timers.

use rand::RngExt;

use crate::fleet::AttemptCourse;
use crate::in_flight::CurrentAttempt;
use crate::pending_event::{AttemptEnd, PendingEvent};
use crate::replies::Action;
use crate::simulation::Simulation;
use crate::wire_codes::{CANCELLED, COMPLETED, TIMEOUT};

/// Time from the cancellation of an attempt to its end, in microseconds.
const CANCELLATION_TIME_US: u64 = 1_000;

impl Simulation<'_> {
    /// Applies one action of a router.
    pub(crate) fn apply_action(&mut self, action: Action) {
        match action {
            Action::StartAttempt {
                request,
                replica,
                timeout,
            } => self.start_attempt(request, &replica, timeout),
            Action::CancelAttempt { request, attempt } => self.cancel_attempt(request, attempt),
            Action::AnswerWithError { request } => self.answer_with_error(request),
            Action::CheckHealth { router, replica } => self.check_health(router, replica),
            Action::WatchEndpoints { router } => self.watching[router] = true,
            Action::SetTimer {
                router,
                due_at,
                timer_id,
            } => {
                let timer = PendingEvent::TimerDue { router, timer_id };
                self.pending.push(due_at, timer);
            }
        }
    }

    /// Schedules the end of a cancelled attempt, unless its stream has begun.
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
                elapsed: CANCELLATION_TIME_US,
                outcome: CANCELLED,
                cached_tokens: 0,
                replica: String::new(),
            };
            let due_at = self.now + CANCELLATION_TIME_US;
            self.pending.push(due_at, PendingEvent::AttemptEnded(end));
        }
    }

    /// Records that the router rejected a request or answered it with an error. The request ends
    /// now, or with its attempt in flight.
    fn answer_with_error(&mut self, request: u32) {
        let Some(in_flight) = self.requests.get_mut(&request) else {
            return;
        };
        in_flight.answered_with_error = true;
        if in_flight.current.is_none() {
            self.requests.remove(&request);
        }
    }

    fn check_health(&mut self, router: usize, replica: String) {
        let elapsed = self.random.random_range(1_000..30_000);
        let checked = PendingEvent::HealthChecked {
            router,
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
        let first_token_timeout = timeout.unwrap_or(u64::MAX).min(until_deadline);
        if course.outcome == COMPLETED && course.first_token < first_token_timeout {
            let first_token = PendingEvent::FirstToken {
                request,
                attempt,
                elapsed: course.first_token,
            };
            self.pending
                .push(self.now + course.first_token, first_token);
        }
        let (elapsed, outcome) = duration_and_outcome(&course, first_token_timeout);
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

/// Returns after how many microseconds an attempt ends, and its outcome. The attempt times out if
/// its first token takes `first_token_timeout` microseconds or longer.
fn duration_and_outcome(course: &AttemptCourse, first_token_timeout: u64) -> (u64, u32) {
    match course.outcome {
        COMPLETED if course.first_token >= first_token_timeout => (first_token_timeout, TIMEOUT),
        COMPLETED => (course.end, COMPLETED),
        failure => (course.first_token.min(first_token_timeout) / 2, failure),
    }
}
