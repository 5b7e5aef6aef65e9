//! A request that is being received, until it is complete.

use std::time::{Duration, Instant};

use super::time_limits::ANSWER_MARGIN;
use crate::net::connection_limit::IdleConnection;

/// A request that is being received. Its connection may be evicted.
pub(super) struct IncomingRequest {
    pub(super) idle: IdleConnection,
    /// When receiving the request times out.
    pub(super) deadline: Instant,
    /// Number of bytes of the request that were read, including its head.
    pub(super) bytes: usize,
    /// How long the client waits for the answer, if that is known.
    pub(super) max_wait: Option<Duration>,
}

impl IncomingRequest {
    /// When the client has to be answered, if the complete request may have arrived by
    /// `unread_since`.
    pub(super) fn answer_by(&self, unread_since: Instant) -> Instant {
        let answer_by = |wait: Duration| unread_since + wait.saturating_sub(ANSWER_MARGIN);
        self.max_wait
            .map_or(self.deadline, |wait| self.deadline.min(answer_by(wait)))
    }
}
