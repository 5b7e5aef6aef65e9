//! Actions: what the decision module orders.

use super::{ReplicaId, RequestId, Span, Timestamp};

/// What the gateway is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt.
    Send {
        /// The request.
        request: RequestId,
        /// Where to.
        replica: ReplicaId,
        /// Give the attempt up after this; none: when the client does.
        give_up: Option<Span>,
    },
    /// Call an attempt off.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt's number.
        trial: u32,
    },
    /// Final answer: declined, and a repeat is harmless.
    Refuse {
        /// The request.
        request: RequestId,
        /// When the client should come back.
        retry_in: Option<Span>,
    },
    /// Final answer: failed, with no promise.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Probe a replica.
    Probe {
        /// Which one.
        replica: ReplicaId,
    },
    /// Ask for changes of the list from now on.
    Watch,
    /// Step again at this time, with an event for it.
    Timer {
        /// When.
        at: Timestamp,
        /// A number that comes back with it.
        mark: u64,
    },
}
