//! Closes a client's connection without losing its last answer (a lingering close).

use std::time::Instant;

use tracing::debug;

use super::ClientConnection;
use super::client_socket::ClientSocket;
use super::connection_state::ConnectionEvent;
use super::time_limits::{
    EVICTED_CLOSE_TIMEOUT, LINGERING_CLOSE_EXTENSION, LINGERING_CLOSE_TIMEOUT,
};
use crate::net::http::{Body, Buffer};
use crate::net::read_pacing::{ReadPacing, wait_for_turn};
use crate::net::stream::StreamState;

/// The rest of a request that has been answered, which the client may still be sending.
#[derive(Clone, Copy, Debug)]
pub enum UnreadRemainder {
    /// Nothing: the request was read completely.
    Nothing,
    /// The rest of this body.
    Body(Body),
    /// Bytes that are not valid HTTP, so that the end of the request can't be found in them.
    Unframed,
}

impl ClientConnection {
    /// Closes the connection, and waits for the client to close its side: a reset would discard the
    /// last answer of a client that is still sending. Only the rest of the answered request is
    /// read. A request after it stays unread, and its client sends it again. The connection may be
    /// evicted during the wait.
    pub async fn close(mut self, remainder: UnreadRemainder) {
        self.apply(ConnectionEvent::Close);
        let mut idle = match self.incoming.take() {
            Some(request) => request.idle,
            None => self.context.connection_limit.register_idle(),
        };
        if self.socket.shutdown_write().is_err() {
            return;
        }
        let shutting_down = self.is_shutting_down();
        let evicted = idle.is_evicted();
        let last_answer_at = self.last_answer_at;
        let answered_recently =
            last_answer_at.is_some_and(|at| at.elapsed() < LINGERING_CLOSE_TIMEOUT);
        let is_request_next = matches!(remainder, UnreadRemainder::Nothing);
        let socket = &self.socket;
        let schedule = self.context.read_schedule.clone();
        let (buffer, mut remainder) = (&mut self.buffer, remainder);
        let pacing = &mut self.pacing;
        let closed_by_client = async {
            while discard_remainder(socket, buffer, &mut remainder, pacing).await {
                wait_for_turn(pacing, &schedule).await;
            }
            socket.wait_for_close().await;
        };
        let timed_out = async {
            if evicted {
                return tokio::time::sleep(EVICTED_CLOSE_TIMEOUT).await;
            }
            tokio::time::sleep(LINGERING_CLOSE_TIMEOUT).await;
            // closing with unread bytes resets the connection, and the reset must not overtake the
            // last answer
            if !shutting_down && socket.state() == StreamState::Readable {
                tokio::time::sleep(LINGERING_CLOSE_EXTENSION).await;
            }
        };
        // a request that the client sent before it noticed the close stays unread; the reset tells
        // the client so, and discards no answer
        let reset_for_request = async {
            if answered_recently || !is_request_next || !socket.readable().await {
                std::future::pending::<()>().await;
            }
        };
        tokio::select! {
            () = closed_by_client => {}
            () = reset_for_request => debug!(
                "a request arrived while the connection was closing; resetting the connection"
            ),
            () = idle.evicted() => {}
            () = timed_out => debug!(
                "lingering close timed out before the client closed its side; closing the connection"
            ),
        }
    }
}

/// Reads and discards some of the rest of an answered request. Returns whether there may be more.
async fn discard_remainder(
    socket: &ClientSocket,
    buffer: &mut Buffer,
    remainder: &mut UnreadRemainder,
    pacing: &mut ReadPacing,
) -> bool {
    match remainder {
        UnreadRemainder::Nothing => return false,
        UnreadRemainder::Unframed => buffer.skip(buffer.bytes().len()),
        UnreadRemainder::Body(body) => match body.drain_buffered(buffer, |_| {}) {
            Ok(()) if body.is_complete() => return false,
            Ok(()) => {}
            Err(_) => {
                *remainder = UnreadRemainder::Unframed;
                return true;
            }
        },
    }
    if !socket.readable().await {
        return false;
    }
    pacing.resume(Instant::now());
    let read = match remainder {
        UnreadRemainder::Body(body) => {
            socket.read_message(buffer, |buffer, next| body.length_in(buffer, next))
        }
        _ => socket.read_message(buffer, |_, next| next.len()),
    };
    read.is_ok()
}
