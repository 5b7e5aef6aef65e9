//! When a request's bytes arrived. They may wait in the system before they are read, and the
//! request's deadline counts from their arrival.

use std::time::Instant;

use super::ClientConnection;
use super::time_limits::{ARRIVAL_MARGIN, MAX_BUFFERED_REQUEST_BYTES};
use crate::net::stream::StreamState;

impl ClientConnection {
    /// The earliest instant at which the bytes that were read last may have arrived. Bytes behind
    /// them may be waiting in the system since then.
    pub(super) fn mark_end_of_request(&mut self) -> Instant {
        let now = Instant::now();
        let earliest = self.context.heartbeat.earliest_arrival(now);
        let earliest = self
            .unread_since
            .map_or(earliest, |since| since.min(earliest));
        let received_at = self
            .last_arrival(now)
            .map_or(earliest, |at| at.max(earliest));
        self.unread_since = Some(received_at);
        let unread = now.saturating_duration_since(received_at).as_secs_f64();
        self.context.metrics.clients().record_unread(unread);
        received_at
    }

    /// The earliest instant at which the request's last byte may have arrived, by the system's
    /// account of the connection. `None` where that may concern other bytes: there are some behind
    /// the request, or it is so large that its end may have waited at the client for the router to
    /// read what is ahead of it.
    fn last_arrival(&self, now: Instant) -> Option<Instant> {
        let is_small = self
            .incoming
            .as_ref()
            .is_some_and(|request| request.bytes <= MAX_BUFFERED_REQUEST_BYTES);
        if !is_small {
            return None;
        }
        let age = self.socket.time_since_last_data()?;
        // in this order: what comes after the first call is seen by the second
        if self.socket.state() != StreamState::Quiet {
            return None;
        }
        now.checked_sub(age + ARRIVAL_MARGIN)
    }

    /// Asks the system when the bytes came that a new connection has brought. The accept queue alone
    /// tells only that it was not empty, which in a flood of connections it never is: requests that
    /// came just now would be taken for expired. Where much is unread, more may wait at the client,
    /// and what came last was let in by the system long after the client wrote it.
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

    /// Notes if nothing is unread: what is read later has not arrived yet.
    pub(super) fn clear_unread_since(&mut self) {
        if self.unread_since.is_some() && self.socket.state() == StreamState::Quiet {
            self.unread_since = None;
        }
    }
}
