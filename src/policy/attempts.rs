//! Attempts: the state changes when an attempt is sent, receives its first token, and ends. `retry`
//! decides on retries, `completion` on a request's final answer. `measurements` records what an
//! answer shows about its replica.

use super::balancer::{Balancer, LastTurn, SentPrefix};
use super::estimators::running_mean;
use super::in_flight::{Attempt, AttemptPhase};
use super::measurements::REPLICA_SAMPLE_WEIGHT;
use super::replica::AwaitedFirstToken;
use super::replica_table::ReplicaIndex;
use crate::interface::{
    Action, Arrival, AttemptEnded, MissCause, Outcome, ReplicaId, RequestId, Span,
};

/// A first token is overdue after this multiple of its predicted time. The error of a healthy
/// replica's prefill model is smaller.
const OVERDUE_FACTOR: f64 = 2.0;
/// A replica counts as full if its decode step takes more than this fraction of the token interval
/// objective. The fraction is below 1 because streams show only seconds later that a replica is
/// full.
const FULL_STEP_FRACTION: f64 = 0.7;
/// Weight of a new request in the running mean of the uncached prompt tokens of a typical request,
/// which covers about the last 64 requests.
const TYPICAL_TOKENS_SAMPLE_WEIGHT: f64 = 1.0 / 64.0;

impl Balancer {
    /// Sends a request to a replica, if [`Self::may_send`] allows it. Every attempt starts here.
    pub(super) fn send_attempt(
        &mut self,
        id: RequestId,
        index: ReplicaIndex,
        actions: &mut Vec<Action>,
    ) {
        if !self.may_send(id, index) {
            return;
        }
        self.dequeue(id);
        let Some(arrival) = self.requests.get(&id).map(|request| request.arrival) else {
            return;
        };
        let attempt = self.new_attempt(&arrival, index);
        let model = self.prefill_model(index);
        let prefill = Span::from_secs_f64(OVERDUE_FACTOR * model.seconds(attempt.queued_tokens));
        let overdue_at = self.now + prefill + attempt.model_load_time;
        let retry_at = overdue_at + self.longest_backoff();
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let replica = &mut self.replicas[index];
        replica.awaited.push_back(AwaitedFirstToken {
            request: id,
            attempt: request.attempts.len(),
            overdue_at,
            retry_at,
        });
        replica.awaited_tokens = attempt.queued_tokens;
        replica.in_flight_by_class[arrival.class as usize] += 1;
        replica.in_flight += 1;
        self.attempts_in_flight += 1;
        replica.idle_connections.pop_back();
        request.attempts.push(attempt);
        let replica_id = replica.entry.replica;
        actions.push(Action::StartAttempt {
            request: id,
            replica: replica_id,
            // a client that still waits gets the answer, and the prompt is cached for its next turn
            timeout: None,
        });
        self.record_sent_prompt(&arrival, replica_id);
    }

    /// Records that a replica will have the prompt of this request cached.
    fn record_sent_prompt(&mut self, arrival: &Arrival, replica: ReplicaId) {
        if let Some(session) = arrival.session {
            let last_turn = LastTurn {
                replica,
                prompt_tokens: arrival.prompt_tokens,
            };
            self.last_turns.insert(session, last_turn);
        }
        if let Some(prefix) = arrival.prefix {
            let sent = SentPrefix { prefix, replica };
            self.sent_prefixes.insert(sent, ());
        }
    }

    /// Restores the session's last turn before an attempt that never ran, or that failed before its
    /// first token. The attempt's replica does not have the prompt cached. A turn that was sent
    /// after the attempt stays the last one.
    fn restore_previous_turn(&mut self, arrival: &Arrival, attempt: &Attempt) {
        let Some(session) = arrival.session else {
            return;
        };
        let recorded = LastTurn {
            replica: self.replicas[attempt.replica].entry.replica,
            prompt_tokens: arrival.prompt_tokens,
        };
        if self.last_turns.get(&session) != Some(recorded) {
            return;
        }
        match attempt.previous_turn {
            Some(previous) => self.last_turns.insert(session, previous),
            None => self.last_turns.remove(&session),
        }
    }

    /// Creates an attempt at a replica and adds its uncached tokens to the replica's dispatched
    /// tokens.
    fn new_attempt(&mut self, arrival: &Arrival, index: ReplicaIndex) -> Attempt {
        let cache_estimate = self.cache_estimate(arrival, Some(index));
        let uncached_tokens = self.uncached_by_estimate(arrival, cache_estimate);
        running_mean::update(
            &mut self.typical_tokens,
            uncached_tokens,
            TYPICAL_TOKENS_SAMPLE_WEIGHT,
        );
        let replica = &mut self.replicas[index];
        if replica.dispatched_tokens == 0.0 {
            self.dispatched_replicas.push(index);
        }
        replica.dispatched_tokens += uncached_tokens;
        let model_load_time = replica.entry.models.load_time(arrival.model);
        Attempt {
            replica: index,
            sent_at: self.now,
            queued_tokens: replica.awaited_tokens + uncached_tokens,
            uncached_tokens,
            previous_turn: arrival
                .session
                .and_then(|session| self.last_turns.get(&session)),
            cache_estimate,
            model_load_time: model_load_time.unwrap_or_default(),
            phase: AttemptPhase::AwaitingFirstToken,
        }
    }

    /// Handles an attempt's first token.
    pub(super) fn on_first_token(&mut self, id: RequestId, number: usize) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let Arrival { class, model, .. } = request.arrival;
        let Some(attempt) = request.attempts.get_mut(number) else {
            return;
        };
        if attempt.phase != AttemptPhase::AwaitingFirstToken {
            return;
        }
        attempt.phase = AttemptPhase::Streaming { since: self.now };
        let attempt = *attempt;
        self.remove_awaited(id, number, &attempt);
        let replica = &mut self.replicas[attempt.replica];
        replica.has_answered = true;
        replica.consecutive_failures = 0;
        // A single slow replica without slack must not cause load shedding while the fleet has
        // slack, so the shorter of the replica's and the fleet's decode steps counts.
        let step = self
            .decode_step(attempt.replica)
            .min(self.decode_steps.full_step(self.now));
        let token_interval = self.settings.classes[class as usize]
            .token_interval_objective
            .as_secs_f64();
        if step <= FULL_STEP_FRACTION * token_interval {
            self.record_admission_success(model);
        } else {
            self.record_admission_miss(model, MissCause::SlowSteps, 1.0);
        }
    }

    /// Handles the end of an attempt; further ends of the same attempt are ignored.
    pub(super) fn on_attempt_ended(&mut self, end: AttemptEnded, actions: &mut Vec<Action>) {
        let id = end.request;
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let arrival = request.arrival;
        request.awaits_answer &= !end.request_complete;
        let Some(attempt) = request.attempts.get_mut(end.attempt as usize) else {
            return;
        };
        let ended = *attempt;
        if matches!(ended.phase, AttemptPhase::Ended { .. }) {
            return;
        }
        attempt.phase = AttemptPhase::Ended {
            never_ran: end.outcome.never_ran(),
        };
        let failure = end
            .outcome
            .is_fault()
            .then(|| self.overload_evidence(ended.replica));
        self.remove_awaited(id, end.attempt as usize, &ended);
        let replica = &mut self.replicas[ended.replica];
        replica.in_flight_by_class[arrival.class as usize] -= 1;
        replica.in_flight -= 1;
        self.attempts_in_flight -= 1;
        let failed_unanswered =
            end.outcome.is_fault() && ended.phase == AttemptPhase::AwaitingFirstToken;
        if end.outcome.never_ran() || failed_unanswered {
            self.restore_previous_turn(&arrival, &ended);
        }
        if end.outcome == Outcome::Completed {
            self.record_answer(&arrival, &ended, &end);
            self.record_session_answer(&arrival);
        }
        let replica = &mut self.replicas[ended.replica];
        if end.outcome.concerns_replica() {
            let failure = f64::from(u8::from(end.outcome.is_fault()));
            running_mean::update(&mut replica.failure_rate, failure, REPLICA_SAMPLE_WEIGHT);
        }
        if end.outcome.is_fault() {
            self.record_fault(ended.replica);
        } else if replica.in_flight == 0
            && replica.consecutive_failures == 0
            && replica.has_answered
        {
            self.set_maturity(ended.replica, self.now);
        }
        self.retry_or_complete(id, failure, actions);
        self.remove_if_finished(id);
    }

    /// Removes an attempt from its replica's attempts that await their first tokens.
    fn remove_awaited(&mut self, id: RequestId, number: usize, attempt: &Attempt) {
        let replica = &mut self.replicas[attempt.replica];
        let mut awaited = replica.awaited.iter();
        let position =
            awaited.position(|awaited| awaited.request == id && awaited.attempt == number);
        if let Some(position) = position {
            replica.awaited.remove(position);
            replica.awaited_tokens = (replica.awaited_tokens - attempt.uncached_tokens).max(0.0);
        }
    }
}
