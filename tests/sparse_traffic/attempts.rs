//! The ends of the attempts and health checks that the routers start.

use stilespan::interface::*;

use super::common::*;
use super::replicas::AttemptPlan;
use super::simulation::{InFlightAttempt, Simulation};

/// Time after which a health check of a hanging replica fails.
const HEALTH_CHECK_TIMEOUT: Span = Span::from_millis(400);

impl Simulation {
    /// Starts an attempt and schedules its first token and its end.
    pub(super) fn start_attempt(
        &mut self,
        router: usize,
        id: u32,
        replica: u64,
        timeout: Option<Span>,
    ) {
        let Some(turn) = self.turns.get_mut(&id) else {
            return;
        };
        let arrival = turn.arrival;
        let number = turn.attempts;
        turn.attempts += 1;
        turn.in_flight = Some(InFlightAttempt { replica, number });
        let plan = self.replicas.start(replica, &arrival, self.now);
        let gives_up_at = timeout.map_or(arrival.expires_at, |timeout| self.now + timeout);
        let mut end = AttemptEnded {
            request: RequestId(id),
            attempt: number,
            outcome: Outcome::Timeout,
            elapsed: gives_up_at - self.now,
            cached_tokens: None,
            request_complete: false,
            load_report: None,
        };
        let mut end_at = gives_up_at;
        if let AttemptPlan::Answers {
            first_token: first_token_at,
            end: answer_ends_at,
            cached_tokens,
        } = plan
            && first_token_at <= gives_up_at
        {
            let elapsed = first_token_at - self.now;
            let event = first_token(id, number, elapsed.as_micros());
            self.schedule(router, first_token_at, event);
            end_at = answer_ends_at;
            end.elapsed = answer_ends_at - self.now;
            end.cached_tokens = Some(cached_tokens);
            end.outcome = Outcome::Completed;
            end.request_complete = true;
        }
        self.schedule(router, end_at, Event::AttemptEnded(end));
    }

    /// Answers a health check with the next step; a replica that hangs fails it after
    /// `HEALTH_CHECK_TIMEOUT`.
    pub(super) fn answer_health_check(&mut self, router: usize, replica: ReplicaId) {
        let hangs = self.replicas.hangs(replica.0, self.now);
        let (outcome, elapsed) = if hangs {
            (Outcome::Timeout, HEALTH_CHECK_TIMEOUT)
        } else {
            (Outcome::Completed, Span::from_millis(1))
        };
        let end = HealthCheckEnded {
            replica,
            outcome,
            elapsed,
            load_report: None,
        };
        self.schedule(router, self.now + elapsed, Event::HealthCheckEnded(end));
    }
}
