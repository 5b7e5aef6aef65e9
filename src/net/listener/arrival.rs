//! When a request's bytes arrived. They may wait in the system before they are read, and the
//! request's deadline counts from their arrival.

use std::time::Instant;

use super::ClientConnection;
use super::time_limits::ARRIVAL_RESOLUTION;
use crate::net::stream::StreamState;

impl ClientConnection {
    /// The earliest instant at which the bytes that were read last may have arrived. Bytes behind
    /// them may be waiting in the system since then.
    pub(super) fn mark_end_of_request(&mut self) -> Instant {
        let now = Instant::now();
        let earliest = self.context.heartbeat.earliest_arrival(now);
        let received_at = self
            .unread_since
            .map_or(earliest, |since| since.min(earliest));
        self.unread_since = Some(received_at);
        let unread = now.saturating_duration_since(received_at).as_secs_f64();
        self.context.metrics.clients().record_unread(unread);
        received_at
    }

    /// Asks the system when the bytes came that a new connection has brought. The accept queue alone
    /// tells only that it was not empty, which in a flood of connections it never is: requests that
    /// came just now would be taken for expired.
    pub(super) fn narrow_unread_since(&mut self) {
        let Some(since) = self.unread_since else {
            return;
        };
        let arrived = self
            .socket
            .time_since_last_data()
            .and_then(|age| Instant::now().checked_sub(age + ARRIVAL_RESOLUTION));
        if let Some(arrived) = arrived {
            self.unread_since = Some(since.max(arrived));
        }
    }

    /// Notes if nothing is unread: what is read later has not arrived yet.
    pub(super) fn clear_unread_since(&mut self) {
        if self.unread_since.is_some() && self.socket.state() == StreamState::Quiet {
            self.unread_since = None;
        }
    }
}
