//! The state of one request from its arrival until it is complete and none of its attempts is in
//! flight. Transitions are made in `arrival`, `dispatch`, `attempts` and `completion`.

use super::balancer::LastTurn;
use super::estimators::prefix_cache::CacheEstimate;
use super::replica_table::ReplicaIndex;
use crate::interface::{Arrival, Span, Timestamp};

/// The phase of an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum AttemptPhase {
    /// Sent; its first token has not come.
    AwaitingFirstToken,
    /// Its first token came at this time.
    Streaming { since: Timestamp },
    /// It has ended; `never_ran`: its outcome proves that the replica did not run it.
    Ended { never_ran: bool },
}

/// An attempt: one send of a request to a replica.
#[derive(Clone, Copy, Debug)]
pub(super) struct Attempt {
    /// The replica's index.
    pub(super) replica: ReplicaIndex,
    /// When it was sent.
    pub(super) sent_at: Timestamp,
    /// Uncached prompt tokens that the replica had to prefill for its first token, this request's
    /// and those of attempts waiting ahead of it.
    pub(super) queued_tokens: f64,
    /// Uncached prompt tokens of this request alone, as estimated at the send.
    pub(super) uncached_tokens: f64,
    /// The session's last turn before it.
    pub(super) previous_turn: Option<LastTurn>,
    /// What the replica was expected to have cached of the prompt.
    pub(super) cache_estimate: CacheEstimate,
    /// How long the replica had to load the model first.
    pub(super) model_load_time: Span,
    /// Its phase.
    pub(super) phase: AttemptPhase,
}

/// A request that is not complete, or has attempts in flight.
pub(super) struct InFlightRequest {
    /// The request as it arrived.
    pub(super) arrival: Arrival,
    /// When its first token has to come: its latency objective. The queue is ordered by it.
    pub(super) due: Timestamp,
    /// Until when an answer has a value: `due`, or when the client stops waiting where the class
    /// has a late weight. A queued request is completed then, an attempt times out.
    pub(super) useful_until: Timestamp,
    /// Its priority weight: the value of an answer within its objective.
    pub(super) priority_weight: f64,
    /// The draw, from 0 to 1, by which it is admitted: lower ones are admitted with less
    /// probability.
    pub(super) admission_draw: f64,
    /// The client still waits for a final answer.
    pub(super) awaits_answer: bool,
    /// Its attempts under this id, by number.
    pub(super) attempts: Vec<Attempt>,
    /// The warming-up replica that its next attempt may go to.
    pub(super) slow_start_slot: Option<ReplicaIndex>,
    /// Candidate replicas whose load reports are awaited; empty where none are.
    pub(super) candidates: Vec<ReplicaIndex>,
    /// Since when those reports are awaited.
    pub(super) candidates_since: Timestamp,
    /// How often candidates were sampled for its next attempt.
    pub(super) candidate_rounds: u32,
}

impl InFlightRequest {
    /// A request that has just arrived, with the time that its first token is due.
    pub(super) fn new(arrival: Arrival, due: Timestamp, now: Timestamp) -> InFlightRequest {
        InFlightRequest {
            arrival,
            due,
            useful_until: due,
            priority_weight: 1.0,
            admission_draw: 0.0,
            awaits_answer: true,
            attempts: Vec::new(),
            slow_start_slot: None,
            candidates: Vec::new(),
            candidates_since: now,
            candidate_rounds: 0,
        }
    }

    /// Whether an attempt of it is in flight.
    pub(super) fn has_attempt_in_flight(&self) -> bool {
        self.attempts
            .iter()
            .any(|attempt| !matches!(attempt.phase, AttemptPhase::Ended { .. }))
    }

    /// Attempts so far, with those that it had under earlier ids.
    pub(super) fn attempt_count(&self) -> usize {
        self.attempts.len() + self.arrival.prior_attempts as usize
    }

    /// The first attempt that may have run at a replica.
    pub(super) fn first_that_may_have_run(&self) -> Option<&Attempt> {
        self.attempts
            .iter()
            .find(|attempt| attempt.phase != AttemptPhase::Ended { never_ran: true })
    }
}
