//! Receives requests on a client's connection: waits for the next request, reads its head, and
//! reads more bytes for its body.
//!
//! Enforces the time limits of a request that is being received, and decides which of them ends the
//! wait.

use std::time::Instant;

use super::ClientConnection;
use super::connection_state::ConnectionEvent;
use super::incoming_request::IncomingRequest;
use super::time_limits::{
    IDLE_CLOSE_AFTER_DRAIN, PIPELINING_DELAY, READ_CUTOFF_AFTER_SHUTDOWN,
    REQUEST_CUTOFF_AFTER_DRAIN, REQUEST_CUTOFF_AFTER_SHUTDOWN,
};
use crate::net::connection_limit::IdleConnection;
use crate::net::http::{self, Buffer, Head, HttpError};
use crate::net::stream::StreamState;
use crate::ops::metrics::ConnectionEnd;

/// The result of waiting for the next request.
pub enum NextRequest {
    /// The request's head.
    Received(Head),
    /// The bytes are not a valid request, or the request did not arrive in time.
    Invalid(HttpError),
    /// No request arrived in time: the connection is to be closed.
    Close,
    /// The client has disconnected or the connection was evicted: the connection is to be dropped.
    Drop,
}

impl ClientConnection {
    /// Waits for a request and reads its head. Until the request is complete, the connection may be
    /// evicted, and it fails if the request takes too long: clients that connect and send nothing,
    /// or never finish a request, would otherwise use up the connection limit.
    pub async fn next_request(&mut self) -> NextRequest {
        // a request behind a long answer could not be answered before the platform kills the
        // process; if it stays unread, its client sends it again elsewhere
        if self.context.is_past_shutdown(REQUEST_CUTOFF_AFTER_SHUTDOWN) {
            return NextRequest::Close;
        }
        let opened_at = self.opened_at.take();
        let mut idle = self.context.connection_limit.register_idle();
        if let Err(end) = self.delay_pipelining(&mut idle).await {
            return end;
        }
        if let Err(end) = self.wait_for_first_byte(&mut idle, opened_at).await {
            return end;
        }
        let now = Instant::now();
        self.apply(ConnectionEvent::RequestStarted);
        idle.record_progress();
        self.incoming = Some(IncomingRequest {
            idle,
            deadline: opened_at.unwrap_or(now) + self.timeouts.request,
            bytes: 0,
            max_wait: None,
        });
        self.pacing.begin_message();
        self.read_head().await
    }

    /// Lets other tasks run before a pipelined request is served. All connections share one thread:
    /// without the delay, a client that pipelines would be served as fast as it writes, and all
    /// other clients only after it.
    async fn delay_pipelining(&self, idle: &mut IdleConnection) -> Result<(), NextRequest> {
        if self.pipelined_requests == 0 {
            return Ok(());
        }
        if !self.is_pipelining() {
            tokio::task::yield_now().await;
            return Ok(());
        }
        tokio::select! {
            biased;
            // the bytes that the client has sent stay unread
            () = idle.evicted() => {
                self.record_end(ConnectionEnd::Evicted);
                Err(NextRequest::Drop)
            }
            () = tokio::time::sleep(PIPELINING_DELAY) => Ok(()),
        }
    }

    async fn read_head(&mut self) -> NextRequest {
        loop {
            match self.read_more(http::request_head_length).await {
                Ok(()) => {}
                Err(HttpError::Timeout) => return NextRequest::Invalid(HttpError::Timeout),
                Err(_) => return NextRequest::Drop,
            }
            match http::take_request_head(&mut self.buffer) {
                Ok(Some(head)) => return NextRequest::Received(head),
                Ok(None) => {}
                Err(e) => return NextRequest::Invalid(e),
            }
        }
    }

    /// Waits until a request has begun to arrive or the connection is to end. Before the connection
    /// ends because of an eviction or a timeout, the system is asked whether a request has arrived
    /// in the meantime.
    async fn wait_for_first_byte(
        &mut self,
        idle: &mut IdleConnection,
        opened_at: Option<Instant>,
    ) -> Result<(), NextRequest> {
        let mut shutdown = self.context.clone();
        let mut drain = self.context.clone();
        self.clear_unread_since();
        if opened_at.is_some() {
            self.narrow_unread_since();
        }
        let idle_deadline = opened_at.unwrap_or_else(Instant::now) + self.timeouts.idle;
        let end = tokio::select! {
            biased;
            () = shutdown.wait_after_shutdown_signal(REQUEST_CUTOFF_AFTER_SHUTDOWN) => {
                self.record_end(ConnectionEnd::Shutdown);
                return Err(NextRequest::Close);
            }
            readable = self.socket.readable() => {
                return if readable { Ok(()) } else { Err(NextRequest::Drop) };
            }
            () = idle.evicted() => (NextRequest::Drop, ConnectionEnd::Evicted),
            () = drain.wait_after_drain(opened_at, IDLE_CLOSE_AFTER_DRAIN) => {
                (NextRequest::Close, ConnectionEnd::Drained)
            }
            () = tokio::time::sleep_until(idle_deadline.into()) => {
                (NextRequest::Close, ConnectionEnd::Idle)
            }
        };
        if self.socket.state() == StreamState::Readable {
            idle.decline_eviction();
            return Ok(());
        }
        let (next, reason) = end;
        self.record_end(reason);
        Err(next)
    }

    /// Counts why the router ends this connection.
    pub(super) fn record_end(&self, end: ConnectionEnd) {
        self.context.metrics.clients().record_connection_end(end);
    }

    /// Reads more of an incoming request, and none of the bytes after it. Cancel safe.
    pub(super) async fn read_more(
        &mut self,
        bytes_to_read: impl Fn(&Buffer, &[u8]) -> usize,
    ) -> Result<(), HttpError> {
        self.wait_for_turn().await?;
        self.clear_unread_since();
        let mut shutdown = self.context.clone();
        let mut drain = self.context.clone();
        let Some(incoming) = &mut self.incoming else {
            return Err(HttpError::ConnectionClosed);
        };
        let IncomingRequest {
            idle,
            deadline,
            bytes,
            ..
        } = incoming;
        let started_at = deadline
            .checked_sub(self.timeouts.request)
            .unwrap_or(*deadline);
        loop {
            let end = tokio::select! {
                biased;
                readable = self.socket.readable() => {
                    idle.record_progress();
                    if !readable {
                        return Err(HttpError::ConnectionClosed);
                    }
                    self.pacing.resume(Instant::now());
                    let read = self.socket.read_message(&mut self.buffer, &bytes_to_read)?;
                    if read > 0 {
                        *bytes += read;
                        return self.check_read_cutoff();
                    }
                    continue;
                }
                () = idle.evicted() => HttpError::ConnectionClosed,
                () = tokio::time::sleep_until((*deadline).into()) => HttpError::Timeout,
                () = shutdown.wait_after_shutdown_signal(REQUEST_CUTOFF_AFTER_SHUTDOWN) => {
                    HttpError::Timeout
                }
                () = drain.wait_after_drain(Some(started_at), REQUEST_CUTOFF_AFTER_DRAIN) => {
                    HttpError::Timeout
                }
            };
            // the runtime may not have been notified of bytes that arrived before the wait ended
            if self.socket.state() != StreamState::Readable {
                if matches!(end, HttpError::ConnectionClosed) {
                    self.context
                        .metrics
                        .clients()
                        .record_connection_end(ConnectionEnd::EvictedReceiving);
                }
                return Err(end);
            }
            idle.decline_eviction();
            self.pacing.resume(Instant::now());
            let read = self.socket.read_message(&mut self.buffer, &bytes_to_read)?;
            if read > 0 {
                *bytes += read;
                return self.check_read_cutoff();
            }
        }
    }

    /// Fails if the last read was too late for its bytes to be served. This is checked after the
    /// read, because the process may not have been scheduled for some time before it.
    fn check_read_cutoff(&self) -> Result<(), HttpError> {
        if self.context.is_past_shutdown(READ_CUTOFF_AFTER_SHUTDOWN) {
            Err(HttpError::Timeout)
        } else {
            Ok(())
        }
    }
}
