//! The effects of the gateways' actions: the course of attempts, health checks and timers.

use rand::RngExt;

use crate::fleet::AttemptCourse;
use crate::replies::{Reply, seconds};
use crate::requests::CurrentAttempt;
use crate::simulation::{AttemptEnd, PendingEvent, Simulation};
use crate::wire_codes::{CANCELLED, COMPLETED, TIMEOUT};

/// How long an attempt takes to end once it is cancelled, in microseconds.
const CANCELLATION_TIME: u64 = 1_000;

impl Simulation<'_> {
    /// Sends all events that are due by now.
    pub(crate) fn send_due_events(&mut self) {
        while let Some(event) = self.pending.pop_due(self.now) {
            self.handle(event);
        }
    }

    fn handle(&mut self, event: PendingEvent) {
        match event {
            PendingEvent::TimerDue { gateway, timer_id } => {
                self.send(&format!("ELAPSED i={gateway} mark={timer_id}"));
            }
            PendingEvent::HealthChecked {
                gateway,
                replica,
                elapsed,
            } => self.end_health_check(gateway, &replica, elapsed),
            PendingEvent::RequestExpired { request } => self.expire(request),
            PendingEvent::FirstToken {
                request,
                attempt,
                elapsed,
            } => self.receive_first_token(request, attempt, elapsed),
            PendingEvent::AttemptEnded(end) => {
                if let Some(replica) = self.fleet.find(&end.replica) {
                    replica.in_flight = replica.in_flight.saturating_sub(1);
                }
                self.end_attempt(&end);
            }
        }
    }

    fn end_health_check(&mut self, gateway: usize, replica: &str, elapsed: u64) {
        let report = self
            .fleet
            .find(replica)
            .map(|replica| replica.load_report())
            .unwrap_or_default();
        self.send(&format!(
            "CHECK_RESULT i={gateway} replica={replica} result={COMPLETED} took={} telemetry={report}",
            seconds(elapsed)
        ));
    }

    /// Ends a request at its deadline, unless its answer is already known.
    fn expire(&mut self, request: u32) {
        let Some(expired) = self.requests.get(&request) else {
            return;
        };
        let streaming = expired
            .current
            .is_some_and(|attempt| attempt.has_first_token);
        if !streaming && !expired.rejected {
            let gateway = expired.gateway;
            self.requests.remove(&request);
            self.send(&format!("EXPIRED i={gateway} ref={request}"));
        }
    }

    fn receive_first_token(&mut self, request: u32, attempt: u32, elapsed: u64) {
        let Some(in_flight) = self.requests.get_mut(&request) else {
            return;
        };
        let Some(current) = &mut in_flight.current else {
            return;
        };
        if current.number != attempt || current.has_first_token {
            return;
        }
        current.has_first_token = true;
        let gateway = in_flight.gateway;
        self.send(&format!(
            "HEADERS i={gateway} ref={request} trial={attempt} took={}",
            seconds(elapsed)
        ));
    }

    fn end_attempt(&mut self, end: &AttemptEnd) {
        let AttemptEnd {
            request,
            attempt,
            outcome,
            ..
        } = *end;
        let Some(in_flight) = self.requests.get_mut(&request) else {
            return;
        };
        let Some(current) = in_flight
            .current
            .filter(|current| current.number == attempt)
        else {
            return;
        };
        in_flight.current = None;
        let request_complete =
            outcome == COMPLETED || current.has_first_token || in_flight.rejected;
        let mut line = format!(
            "RETURNED i={} ref={request} trial={attempt} result={outcome} took={}",
            in_flight.gateway,
            seconds(end.elapsed)
        );
        if outcome == COMPLETED {
            line.push_str(&format!(" note={}", end.cached_tokens));
        }
        if request_complete {
            line.push_str(" closed=1");
            self.requests.remove(&request);
        }
        if self.deployment.reports_in_answers
            && let Some(replica) = self.fleet.find(&end.replica)
        {
            line.push_str(&format!(" telemetry={}", replica.load_report()));
        }
        self.send(&line);
    }

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
