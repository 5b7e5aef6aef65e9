//! Actions: the commands that the decision module gives to the router.

use super::{ReplicaId, RequestId, Span, Timestamp, UnservedReason};

/// A command to the router. The actions of one step are carried out in the order given.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a request to a replica.
    StartAttempt {
        /// The request.
        request: RequestId,
        /// The replica.
        replica: ReplicaId,
        /// How long to wait for the first token; `None` means as long as the client waits.
        timeout: Option<Span>,
    },
    /// Cancel an attempt.
    CancelAttempt {
        /// The request.
        request: RequestId,
        /// The attempt's number within the request, from 0.
        attempt: u32,
    },
    /// Reject a request, as its final answer. The client can safely retry it.
    Reject {
        /// The request.
        request: RequestId,
        /// The Retry-After time sent to the client; `None` if none is sent.
        retry_after: Option<Span>,
        /// Why the request is rejected.
        reason: UnservedReason,
        /// The number of replicas that could have taken the request, as far as the router knew.
        available_replicas: u32,
    },
    /// Fail a request, as its final answer. Whether the client can safely retry it is unknown.
    Fail {
        /// The request.
        request: RequestId,
        /// Why the request failed.
        reason: UnservedReason,
        /// The number of replicas that could have taken the request, as far as the router knew.
        available_replicas: u32,
    },
    /// Check a replica's health.
    CheckHealth {
        /// The replica.
        replica: ReplicaId,
    },
    /// Start to watch the endpoint list, or restart the watch after a failure.
    WatchEndpoints,
    /// Step the decision module again at a given time, with
    /// [`Event::TimerFired`](super::Event::TimerFired).
    SetTimer {
        /// The time.
        at: Timestamp,
        /// Identifies the timer; returned with the event.
        timer_id: u64,
    },
}
