//! Determines when a request's bytes arrived.
//!
//! Bytes may wait in the system before they are read, and the request's deadline counts from their
//! arrival.

use std::time::{Duration, Instant};

use super::ClientConnection;
use super::time_limits::{ARRIVAL_MARGIN, MAX_BUFFERED_REQUEST_BYTES};
use crate::net::stream::StreamState;

impl ClientConnection {
    /// Returns and records the earliest instant at which the bytes that were read last may have
    /// arrived. Bytes after them may have been waiting in the system since then.
    pub(super) fn mark_end_of_request(&mut self) -> Instant {
        let now = Instant::now();
        let earliest = self.context.heartbeat.earliest_arrival(now);
        let earliest = self
            .unread_since
            .map_or(earliest, |since| since.min(earliest));
        let last_data_age = self.socket.time_since_last_data();
        let earliest = last_data_age
            .and_then(|age| self.last_arrival(now, age))
            .map_or(earliest, |at| at.max(earliest));
        // no byte that has been read arrived after the last data
        let last_data_at = last_data_age.and_then(|age| now.checked_sub(age));
        let received_at = last_data_at.map_or(earliest, |at| at.min(earliest));
        self.unread_since = Some(received_at);
        let unread = now.saturating_duration_since(received_at).as_secs_f64();
        self.context.metrics.clients().record_unread(unread);
        received_at
    }

    /// The earliest instant at which the request's last byte may have arrived, according to the
    /// system's record of the last data on the connection. `None` if that record may concern other
    /// bytes: there are bytes after the request, or the request is so large that its end may have
    /// waited at the client until the router read the bytes before it.
    fn last_arrival(&self, now: Instant, last_data_age: Duration) -> Option<Instant> {
        let is_small = self
            .incoming
            .as_ref()
            .is_some_and(|request| request.bytes <= MAX_BUFFERED_REQUEST_BYTES);
        if !is_small {
            return None;
        }
        // bytes that arrived after the age was read are seen here
        if self.socket.state() != StreamState::Quiet {
            return None;
        }
        now.checked_sub(last_data_age + ARRIVAL_MARGIN)
    }

    /// Asks the system when the bytes on a new connection arrived. The accept queue alone shows
    /// only that it was not empty, and in a flood of connections it is never empty: requests that
    /// have just arrived would be treated as expired. If one read does not take all unread bytes,
    /// more may be waiting at the client, and the system accepted the last bytes long after the
    /// client sent them. The system's record is not used then.
    pub(super) fn narrow_unread_since(&mut self) {
        let Some(since) = self.unread_since else {
            return;
        };
        let age = self
            .socket
            .time_since_last_data()
            .filter(|_| self.socket.unread_fits_one_read());
        let arrived = age.and_then(|age| Instant::now().checked_sub(age + ARRIVAL_MARGIN));
        let since = arrived.map_or(since, |arrived| since.max(arrived));
        self.unread_since = Some(since);
        let waited = since.elapsed().as_secs_f64();
        self.context.metrics.clients().record_accept_wait(waited);
    }

    /// Clears `unread_since` if nothing is unread: bytes that are read later have not arrived yet.
    pub(super) fn clear_unread_since(&mut self) {
        if self.unread_since.is_some() && self.socket.state() == StreamState::Quiet {
            self.unread_since = None;
        }
    }
}

#[cfg(test)]
mod tests;
