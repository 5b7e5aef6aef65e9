//! A client's connection: its state, and writing to the client.
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
use super::time_limits::{ClientTimeouts, MAX_PIPELINED_BURST, WRITE_TIMEOUT};
use crate::net::connection_limit::ConnectionPermit;
use crate::net::http::{Buffer, Head, HttpError};
use crate::net::read_pacing::ReadPacing;
use crate::ops::metrics::{ConnectionEnd, Metrics};

/// A client's connection.
pub struct ClientConnection {
    pub(super) socket: ClientSocket,
    state: ConnectionState,
    /// Bytes that were read from the client. All of them belong to the current request.
    pub(super) buffer: Buffer,
    pub(super) context: ListenerContext,
    pub(super) timeouts: ClientTimeouts,
    /// When the connection was opened; `None` once the wait for its first request has begun.
    pub(super) opened_at: Option<Instant>,
    /// The request that is being received; `None` once it is complete.
    pub(super) incoming: Option<IncomingRequest>,
    /// Since when bytes may have been waiting unread in the system; `None` if none can be waiting.
    pub(super) unread_since: Option<Instant>,
    /// Limits the time for which the current message is read without a break.
    pub(super) pacing: ReadPacing,
    /// Number of consecutive requests that arrived before the answer to the previous request was
    /// written.
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

    /// Whether the process is shutting down.
    pub fn is_shutting_down(&self) -> bool {
        self.context.is_shutting_down()
    }

    /// Whether the process is shutting down or the router is drained. The connection then closes
    /// after the current answer, and new clients should connect elsewhere.
    pub fn is_draining(&self) -> bool {
        self.is_shutting_down() || self.context.is_drained()
    }

    /// The metrics that count connections and late answers.
    pub fn metrics(&self) -> &Metrics {
        &self.context.metrics
    }

    /// A handle with which other tasks check whether the client is still connected.
    pub fn presence(&self) -> Arc<ClientPresence> {
        Arc::new(self.socket.presence())
    }

    /// Records that the request is complete. From now on the connection is not closed before the
    /// request is answered, and bytes that the client sends until then stay unread.
    pub fn request_received(&mut self) {
        if self.incoming.take().is_some() {
            self.apply(ConnectionEvent::RequestReceived);
        }
        self.unread_since.get_or_insert_with(Instant::now);
    }

    /// Records that the request has finished.
    pub fn finish_request(&mut self, outcome: RequestOutcome) {
        self.last_answer_at = Some(Instant::now());
        self.apply(ConnectionEvent::RequestFinished(outcome));
    }

    /// Applies an event to the connection's state. An event that is invalid in the current state is
    /// a bug in this program: it is logged, and fails a debug assertion.
    pub(super) fn apply(&mut self, event: ConnectionEvent) {
        match self.state.after(event) {
            Ok(state) => self.state = state,
            Err(invalid) => {
                error!("{invalid}");
                debug_assert!(false, "{invalid}");
            }
        }
    }

    /// Writes to the client. Fails if the client does not accept the bytes within `WRITE_TIMEOUT`:
    /// it would otherwise occupy a model server's stream indefinitely.
    pub async fn write(&mut self, bytes: &[u8]) -> Result<(), HttpError> {
        let write = timeout(WRITE_TIMEOUT, self.socket.write_all(bytes));
        let written = if self.is_pipelining() {
            // a client that pipelines requests and reads no answers must not keep its descriptor
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

    /// Whether the client has pipelined more than `MAX_PIPELINED_BURST` requests in a row.
    pub(super) fn is_pipelining(&self) -> bool {
        self.pipelined_requests > MAX_PIPELINED_BURST
    }

    /// Writes the last bytes of an answer. A request that has arrived before this call was
    /// pipelined: a client that waits for the answer sends its next request later.
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

    /// Sends `100 Continue` if the client waits for it (`Expect: 100-continue`) before it sends the
    /// body.
    pub async fn send_continue(&mut self, head: &Head) -> Result<(), HttpError> {
        let expected = head
            .get("expect")
            .is_some_and(|value| value.eq_ignore_ascii_case("100-continue"));
        if expected {
            self.write(b"HTTP/1.1 100 Continue\r\n\r\n").await?;
        }
        Ok(())
    }

    /// Waits until the client has disconnected. Bytes that the client sends in the meantime stay
    /// unread. Cancel safe.
    pub async fn wait_for_disconnect(&self) {
        self.socket.wait_for_close().await;
    }

    /// Whether the client has disconnected, as the operating system reports it.
    pub fn has_disconnected(&self) -> bool {
        self.socket.has_closed()
    }
}
