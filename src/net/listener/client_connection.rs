//! A client's connection: its state, and what is written to it.
//!
//! Requests are received by `receiving` and `body`; `closing` closes the connection.

use std::sync::Arc;
use std::time::Instant;

use tokio::time::timeout;
use tracing::error;

use super::ListenerContext;
use super::acceptor::AcceptedConnection;
use super::client_socket::{ClientPresence, ClientSocket};
use super::connection_state::{ConnectionEvent, ConnectionState, RequestOutcome};
use super::incoming_request::IncomingRequest;
use super::read_pacing::ReadPacing;
use super::time_limits::{ClientTimeouts, MAX_PIPELINED_BURST, WRITE_TIMEOUT};
use crate::net::connection_limit::ConnectionPermit;
use crate::net::http::{Buffer, Head, HttpError};
use crate::ops::metrics::{ConnectionEnd, Metrics};

/// A client's connection.
pub struct ClientConnection {
    pub(super) socket: ClientSocket,
    state: ConnectionState,
    /// Bytes of the current request only.
    pub(super) buffer: Buffer,
    pub(super) context: ListenerContext,
    pub(super) timeouts: ClientTimeouts,
    /// When it was opened, until its first request is waited for.
    pub(super) opened_at: Option<Instant>,
    /// The request that arrives, until it is complete.
    pub(super) incoming: Option<IncomingRequest>,
    /// Since when there may be bytes that have arrived and were not read, if there may be any.
    pub(super) unread_since: Option<Instant>,
    /// The time that the current message takes.
    pub(super) pacing: ReadPacing,
    /// Requests in a row that had arrived before the answer to the one before them was written.
    pub(super) pipelined_requests: u32,
    /// When the last request finished.
    pub(super) last_answer_at: Option<Instant>,
    _permit: ConnectionPermit,
}

impl ClientConnection {
    pub(super) fn open(
        accepted: AcceptedConnection,
        context: ListenerContext,
        timeouts: ClientTimeouts,
    ) -> ClientConnection {
        let _ = accepted.stream.set_nodelay(true);
        ClientConnection {
            socket: ClientSocket::new(accepted.stream),
            state: ConnectionState::Idle,
            buffer: Buffer::default(),
            context,
            timeouts,
            opened_at: Some(Instant::now()),
            incoming: None,
            unread_since: Some(accepted.unread_since),
            pacing: ReadPacing::default(),
            pipelined_requests: 0,
            last_answer_at: None,
            _permit: accepted.permit,
        }
    }

    /// Whether the process shuts down.
    pub fn is_shutting_down(&self) -> bool {
        self.context.is_shutting_down()
    }

    /// Whether the router shuts down or is drained: the connection closes after the current answer,
    /// and new clients are to go elsewhere.
    pub fn is_draining(&self) -> bool {
        self.is_shutting_down() || self.context.is_drained()
    }

    /// Counts connections and late answers.
    pub fn metrics(&self) -> &Metrics {
        &self.context.metrics
    }

    /// A way to check from elsewhere whether the client is still connected.
    pub fn presence(&self) -> Arc<ClientPresence> {
        Arc::new(self.socket.presence())
    }

    /// The request is complete: from now on the connection is not closed before its answer. What
    /// the client writes until then stays unread.
    pub fn request_received(&mut self) {
        if self.incoming.take().is_some() {
            self.apply(ConnectionEvent::RequestReceived);
        }
        self.unread_since.get_or_insert_with(Instant::now);
    }

    /// The request has finished.
    pub fn finish_request(&mut self, outcome: RequestOutcome) {
        self.last_answer_at = Some(Instant::now());
        self.apply(ConnectionEvent::RequestFinished(outcome));
    }

    /// Applies an event to the connection's state. An invalid event is a fault of this program.
    pub(super) fn apply(&mut self, event: ConnectionEvent) {
        match self.state.after(event) {
            Ok(state) => self.state = state,
            Err(invalid) => {
                error!("{invalid}");
                debug_assert!(false, "{invalid}");
            }
        }
    }

    /// Writes to the client. Fails if it accepts nothing for too long: it would occupy a model
    /// server's stream for ever.
    pub async fn write(&mut self, bytes: &[u8]) -> Result<(), HttpError> {
        let write = timeout(WRITE_TIMEOUT, self.socket.write_all(bytes));
        let written = if self.is_pipelining() {
            // a client that writes ahead and reads nothing must not keep the descriptor
            let mut idle = self.context.connection_limit.register_idle();
            tokio::select! {
                biased;
                written = write => written.ok(),
                () = idle.evicted() => None,
            }
        } else {
            write.await.ok()
        };
        let Some(written) = written else {
            self.record_end(ConnectionEnd::Stalled);
            return Err(HttpError::ConnectionClosed);
        };
        Ok(written?)
    }

    /// Whether the client writes many requests ahead of their answers.
    pub(super) fn is_pipelining(&self) -> bool {
        self.pipelined_requests > MAX_PIPELINED_BURST
    }

    /// Writes the last bytes of an answer. A client that waits for it writes its next request later
    /// than this.
    pub async fn write_last(&mut self, bytes: &[u8]) -> Result<(), HttpError> {
        self.clear_unread_since();
        self.pipelined_requests = match self.unread_since {
            Some(_) => self.pipelined_requests.saturating_add(1),
            None => 0,
        };
        self.write(bytes).await?;
        self.finish_request(RequestOutcome::Answered);
        Ok(())
    }

    /// Asks a client that waits for it (`Expect: 100-continue`) to send its body.
    pub async fn send_continue(&mut self, head: &Head) -> Result<(), HttpError> {
        let expected = head
            .get("expect")
            .is_some_and(|value| value.eq_ignore_ascii_case("100-continue"));
        if expected {
            self.write(b"HTTP/1.1 100 Continue\r\n\r\n").await?;
        }
        Ok(())
    }

    /// Waits until the client has disconnected, and leaves unread what it writes until then. Cancel
    /// safe.
    pub async fn wait_for_disconnect(&self) {
        self.socket.wait_for_close().await;
    }

    /// Whether the client has disconnected, according to the system.
    pub fn has_disconnected(&self) -> bool {
        self.socket.has_closed()
    }
}
