//! Starts, cancels and ends attempts. Each attempt has exactly one outcome.

use std::sync::Arc;
use std::time::Instant;

use tokio::sync::mpsc;
use tracing::trace;

use super::timers::Timer;
use super::{CLIENT_ANSWER_MARGIN, Core};
use crate::core::in_flight_attempt::{CancelGuard, InFlightAttempt};
use crate::core::in_flight_request::InFlightRequest;
use crate::core::request_state::{RequestState, StateName};
use crate::core::{
    Answer, Attempt, AttemptGate, AttemptId, AttemptResult, Chunk, Payload, UpstreamCommand,
};
use crate::interface::{AttemptEnded, Event, Outcome, ReplicaId, RequestId, Span, Timestamp};

/// The replica has no upstream, or the mailbox of its upstream is full.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct UpstreamUnavailable;

/// Returns when the router stops waiting for the first token of an attempt that is created now.
fn attempt_deadline(
    in_flight: &InFlightRequest,
    timeout: Option<Span>,
    now: Timestamp,
) -> Timestamp {
    let latest = in_flight.expires_at - CLIENT_ANSWER_MARGIN;
    match timeout {
        Some(timeout) => (now + timeout).min(latest),
        None => latest,
    }
}

impl Core {
    /// Creates an attempt at a replica and sends it to the replica's upstream. `at` is the time of
    /// the decision step; `timeout` is the maximum wait for the first token.
    pub(super) fn start_attempt(
        &mut self,
        request: RequestId,
        replica: ReplicaId,
        timeout: Option<Span>,
        at: Instant,
    ) {
        let now = self.clock.time_at(at);
        let Some(in_flight) = self.requests.get_mut(&request) else {
            return;
        };
        let previous_attempts = in_flight.history.total_attempts();
        let number = in_flight.history.next_attempt();
        let (cancel_guard, cancelled) = CancelGuard::new();
        let deadline = attempt_deadline(in_flight, timeout, now);
        let latest_start = in_flight
            .history
            .latest_start(at, self.attempt_start_timeout);
        let gate = Arc::new(AttemptGate::new(latest_start, in_flight.client.clone()));
        let attempt = InFlightAttempt {
            number,
            replica,
            created_at: at,
            gate: gate.clone(),
            _cancel_guard: cancel_guard,
        };
        // Since the decision, the request may have received another attempt or its answer, or its
        // deadline may have passed. At most one attempt is in flight, and the settings limit the
        // number of attempts.
        let obsolete = in_flight.state.name() != StateName::Queued
            || previous_attempts >= self.max_attempts
            || deadline <= now;
        if obsolete {
            self.record_end(request, attempt, Outcome::NeverSent.into(), at);
            return;
        }
        let id = AttemptId {
            request,
            attempt: number,
        };
        let command = UpstreamCommand::StartAttempt(Attempt {
            id,
            payload: in_flight.payload.clone(),
            deadline: self.clock.instant_at(deadline),
            gate,
            cancelled,
        });
        in_flight.transition(|state| state.start_attempt(attempt));
        match self.command_upstream(replica, command) {
            Ok(()) => {
                let attempt = number;
                self.timers
                    .set(deadline, Timer::AttemptTimeout { request, attempt });
            }
            Err(UpstreamUnavailable) => self.end_attempt(id, Outcome::ConnectFailed.into(), at),
        }
    }

    /// Sends a command to a replica's upstream, without waiting.
    pub(super) fn command_upstream(
        &self,
        replica: ReplicaId,
        command: UpstreamCommand,
    ) -> Result<(), UpstreamUnavailable> {
        let upstream = self.upstreams.get(&replica).ok_or(UpstreamUnavailable)?;
        let sent = upstream.commands.try_send(command);
        sent.map_err(|_| UpstreamUnavailable)
    }

    /// Handles the first token of an attempt. From here on, the answer of this attempt is forwarded
    /// to the client.
    pub(super) fn first_token(
        &mut self,
        id: AttemptId,
        at: Instant,
        chunks: mpsc::Receiver<Chunk>,
    ) {
        let Some(in_flight) = self.requests.get_mut(&id.request) else {
            return;
        };
        // If the attempt was cancelled in the meantime, dropping `chunks` stops it.
        let Some(answer_sender) = in_flight.transition(|state| state.first_token(id.attempt))
        else {
            return;
        };
        let RequestState::Streaming { attempt } = &in_flight.state else {
            return;
        };
        let elapsed = Span::from(at.saturating_duration_since(attempt.created_at));
        // nothing further is sent for the request
        in_flight.payload = Payload::default();
        if in_flight.interactive {
            self.load
                .record_first_token(at.saturating_duration_since(in_flight.received_at));
        }
        let _ = answer_sender.send(Answer::Started(chunks));
        trace!(
            "request {} attempt {} at {:x}: first token after {} us",
            id.request.0,
            id.attempt,
            attempt.replica.0,
            elapsed.as_micros()
        );
        self.events.push(Event::FirstToken {
            request: id.request,
            attempt: id.attempt,
            elapsed,
        });
    }

    /// Handles the end of an attempt. If the attempt was cancelled or timed out, its outcome is
    /// already recorded and this end is ignored.
    pub(super) fn end_attempt(&mut self, id: AttemptId, result: AttemptResult, at: Instant) {
        let Some(in_flight) = self.requests.get_mut(&id.request) else {
            return;
        };
        if let Some(attempt) = in_flight.transition(|state| state.end_attempt(id.attempt)) {
            self.record_end(id.request, attempt, result, at);
            self.remove_if_finished(id.request);
        }
    }

    /// Cancels an attempt that has not begun to answer.
    pub(super) fn cancel_attempt(&mut self, id: AttemptId, outcome: Outcome, at: Instant) {
        let Some(in_flight) = self.requests.get_mut(&id.request) else {
            return;
        };
        if let Some(attempt) = in_flight.transition(|state| state.cancel_attempt(id.attempt)) {
            self.record_end(id.request, attempt, outcome.into(), at);
            self.remove_if_finished(id.request);
        }
    }

    /// Cancels the attempts that have not started, at the replicas for which `at_replica` is true.
    /// They never ran, so their requests may be sent to other replicas.
    pub(super) fn cancel_unstarted(&mut self, at_replica: impl Fn(ReplicaId) -> bool, at: Instant) {
        let mut cancelled = Vec::new();
        for (&request, in_flight) in &self.requests {
            let Some(attempt) = in_flight.state.attempt() else {
                continue;
            };
            if at_replica(attempt.replica) && attempt.gate.cancel_unstarted() {
                cancelled.push(AttemptId {
                    request,
                    attempt: attempt.number,
                });
            }
        }
        for id in cancelled {
            self.end_attempt(id, Outcome::ConnectFailed.into(), at);
        }
    }

    /// Records the single outcome of an attempt that its request has released.
    pub(super) fn record_end(
        &mut self,
        request: RequestId,
        attempt: InFlightAttempt,
        result: AttemptResult,
        at: Instant,
    ) {
        let Some(in_flight) = self.requests.get_mut(&request) else {
            return;
        };
        let mut outcome = result.outcome;
        // However the attempt ended, it must not start later.
        let never_started = attempt.gate.cancel_unstarted();
        // A timeout means that the request may have run. Without a first byte, it has not run.
        if outcome == Outcome::Timeout && never_started {
            outcome = Outcome::ConnectFailed;
        }
        in_flight
            .history
            .record_outcome(outcome, attempt.created_at);
        let elapsed = Span::from(at.saturating_duration_since(attempt.created_at));
        trace!(
            "request {} attempt {} at {:x}: {outcome:?} after {} us",
            request.0,
            attempt.number,
            attempt.replica.0,
            elapsed.as_micros()
        );
        self.events.push(Event::AttemptEnded(AttemptEnded {
            request,
            attempt: attempt.number,
            outcome,
            elapsed,
            cached_tokens: result.cached_tokens,
            request_complete: in_flight.state.is_closed(),
            load_report: result.load_report,
        }));
    }
}
