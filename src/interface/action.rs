//! Actions: the commands of the decision module to the router.

use super::{ReplicaId, RequestId, Span, Timestamp, UnservedReason};

/// A command to the router. The actions of one step are carried out in their order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a request to a replica.
    StartAttempt {
        /// The request.
        request: RequestId,
        /// The replica.
        replica: ReplicaId,
        /// How long to wait for the first token; `None`: as long as the client waits.
        timeout: Option<Span>,
    },
    /// Cancel an attempt.
    CancelAttempt {
        /// The request.
        request: RequestId,
        /// The attempt's number within the request, from 0.
        attempt: u32,
    },
    /// Give the final answer: rejected. A retry by the client is harmless.
    Reject {
        /// The request.
        request: RequestId,
        /// The Retry-After time that the client is given; `None`: no such time.
        retry_after: Option<Span>,
        /// Why.
        reason: UnservedReason,
    },
    /// Give the final answer: failed. Whether a retry is harmless is unknown.
    Fail {
        /// The request.
        request: RequestId,
        /// Why.
        reason: UnservedReason,
    },
    /// Check a replica's health.
    CheckHealth {
        /// The replica.
        replica: ReplicaId,
    },
    /// Watch the endpoint list from now on.
    WatchEndpoints,
    /// Step the decision module again at a given time, with
    /// [`Event::TimerFired`](super::Event::TimerFired).
    SetTimer {
        /// The time.
        at: Timestamp,
        /// Identifies the timer; comes back with the event.
        timer_id: u64,
    },
}
