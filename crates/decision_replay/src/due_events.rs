//! Sends the due events of attempts, health checks, timers and request deadlines.

use crate::pending_event::{AttemptEnd, PendingEvent};
use crate::replies::format_time;
use crate::simulation::Simulation;
use crate::wire_codes::COMPLETED;

impl Simulation<'_> {
    /// Sends all events that are due by now.
    pub(crate) fn send_due_events(&mut self) {
        while let Some(event) = self.pending.pop_due(self.now) {
            self.handle(event);
        }
    }

    fn handle(&mut self, event: PendingEvent) {
        match event {
            PendingEvent::TimerDue { router, timer_id } => {
                self.send(&format!("ELAPSED i={router} mark={timer_id}"));
            }
            PendingEvent::HealthChecked {
                router,
                replica,
                elapsed,
            } => self.end_health_check(router, &replica, elapsed),
            PendingEvent::RequestExpired { request } => self.expire_request(request),
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

    fn end_health_check(&mut self, router: usize, replica: &str, elapsed: u64) {
        let report = self
            .fleet
            .find(replica)
            .map(|replica| replica.load_report())
            .unwrap_or_default();
        self.send(&format!(
            "CHECK_RESULT i={router} replica={replica} result={COMPLETED} took={} telemetry={report}",
            format_time(elapsed)
        ));
    }

    /// Ends a request at its deadline, unless its stream has begun or the router has already
    /// rejected it or answered it with an error.
    fn expire_request(&mut self, request: u32) {
        let Some(expired) = self.requests.get(&request) else {
            return;
        };
        let streaming = expired
            .current
            .is_some_and(|attempt| attempt.has_first_token);
        if !streaming && !expired.answered_with_error {
            let router = expired.router;
            self.requests.remove(&request);
            self.send(&format!("EXPIRED i={router} ref={request}"));
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
        let router = in_flight.router;
        self.send(&format!(
            "HEADERS i={router} ref={request} trial={attempt} took={}",
            format_time(elapsed)
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
            outcome == COMPLETED || current.has_first_token || in_flight.answered_with_error;
        let mut line = format!(
            "RETURNED i={} ref={request} trial={attempt} result={outcome} took={}",
            in_flight.router,
            format_time(end.elapsed)
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
}
