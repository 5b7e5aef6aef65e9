//! A request that arrives, until it is complete.

use std::time::{Duration, Instant};

use super::time_limits::ANSWER_MARGIN;
use crate::net::connection_limit::IdleConnection;

/// A request that arrives. Its connection may be evicted.
pub(super) struct IncomingRequest {
    pub(super) idle: IdleConnection,
    /// When the request is late.
    pub(super) deadline: Instant,
    /// The bytes of it that were read, head included.
    pub(super) bytes: usize,
    /// How long its client waits for the answer, if that is known.
    pub(super) max_wait: Option<Duration>,
}

impl IncomingRequest {
    /// When its client has to be answered if all of it may have arrived by `unread_since`.
    pub(super) fn answer_by(&self, unread_since: Instant) -> Instant {
        let answer_by = |wait: Duration| unread_since + wait.saturating_sub(ANSWER_MARGIN);
        self.max_wait
            .map_or(self.deadline, |wait| self.deadline.min(answer_by(wait)))
    }
}
