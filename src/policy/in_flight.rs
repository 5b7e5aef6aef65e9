//! The state of one request from its arrival until it is complete and none of its attempts is in
//! flight. `arrival` creates it; `queue`, `health_checks`, `attempts`, `retry` and `completion`
//! change it.

use super::balancer::LastTurn;
use super::estimators::prefix_cache::CacheEstimate;
use super::replica_table::ReplicaIndex;
use crate::interface::{Arrival, Span, Timestamp};

/// The phase of an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum AttemptPhase {
    /// Sent; the first token has not arrived.
    AwaitingFirstToken,
    /// The first token arrived at the time `since`.
    Streaming { since: Timestamp },
    /// Ended; `never_ran` is true if the outcome proves that the replica did not run the attempt.
    Ended { never_ran: bool },
}

/// An attempt: one send of a request to a replica.
#[derive(Clone, Copy, Debug)]
pub(super) struct Attempt {
    /// The index of the replica that the request was sent to.
    pub(super) replica: ReplicaIndex,
    /// When it was sent.
    pub(super) sent_at: Timestamp,
    /// Uncached prompt tokens that the replica must prefill before the first token: those of this
    /// request and those of the attempts that wait ahead of it.
    pub(super) queued_tokens: f64,
    /// Uncached prompt tokens of this request alone, as estimated when it was sent.
    pub(super) uncached_tokens: f64,
    /// The session's last turn before this attempt.
    pub(super) previous_turn: Option<LastTurn>,
    /// The part of the prompt that the replica was expected to have cached.
    pub(super) cache_estimate: CacheEstimate,
    /// How long the replica needed to load the model first; zero if it was loaded.
    pub(super) model_load_time: Span,
    pub(super) phase: AttemptPhase,
}

/// A request that is not complete, or has attempts in flight.
pub(super) struct InFlightRequest {
    /// The request as it arrived.
    pub(super) arrival: Arrival,
    /// When the first token is due by the latency objective. The queue is ordered by this time.
    pub(super) due: Timestamp,
    /// Until when the request stays queued: `due`, or the time at which the client stops waiting if
    /// the class has a late weight.
    pub(super) queued_until: Timestamp,
    /// The value of an answer within the latency objective.
    pub(super) priority_weight: f64,
    /// The random draw, from 0 to 1, that decides on admission: the request is admitted if the draw
    /// is not above its admission probability.
    pub(super) admission_draw: f64,
    /// Whether the client still waits for a final answer.
    pub(super) awaits_answer: bool,
    /// The attempts under this request id, indexed by attempt number.
    pub(super) attempts: Vec<Attempt>,
    /// The warming-up replica that the next attempt may be sent to.
    pub(super) slow_start_slot: Option<ReplicaIndex>,
    /// Candidate replicas whose load reports are awaited; empty if no reports are awaited.
    pub(super) candidates: Vec<ReplicaIndex>,
    /// Since when the reports of `candidates` have been awaited.
    pub(super) candidates_since: Timestamp,
    /// How often candidates were sampled for the next attempt.
    pub(super) candidate_rounds: u32,
    /// Whether the last selection found a replica that could answer in time, as far as the estimates
    /// tell.
    pub(super) has_candidate: bool,
    /// Since when the request waits for its next attempt.
    pub(super) waiting_since: Timestamp,
}

impl InFlightRequest {
    /// Creates the state of a request that has just arrived and whose first token is due at `due`.
    pub(super) fn new(arrival: Arrival, due: Timestamp, now: Timestamp) -> InFlightRequest {
        InFlightRequest {
            arrival,
            due,
            queued_until: due,
            priority_weight: 1.0,
            admission_draw: 0.0,
            awaits_answer: true,
            attempts: Vec::new(),
            slow_start_slot: None,
            candidates: Vec::new(),
            candidates_since: now,
            candidate_rounds: 0,
            has_candidate: true,
            waiting_since: now,
        }
    }

    /// Whether any attempt of this request is in flight.
    pub(super) fn has_attempt_in_flight(&self) -> bool {
        self.attempts
            .iter()
            .any(|attempt| !matches!(attempt.phase, AttemptPhase::Ended { .. }))
    }

    /// The number of attempts so far, including those under earlier request ids.
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
