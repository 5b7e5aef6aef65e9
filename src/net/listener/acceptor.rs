//! Accepts connections from one listening socket until the process ends.
//!
//! Decides when accepting stops, and acquires a permit for each connection. A connection that gets
//! none in time is rejected by [`TurnedAway`]. [`AcceptErrors`] decides how long to wait after an
//! error.

use std::io;
use std::time::Instant;

use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, sleep_until};
use tracing::info;

use super::ListenerContext;
use super::time_limits::{
    ACCEPT_PERIOD_AFTER_SHUTDOWN, EVICTION_CHECK_INTERVAL, MAX_PERMIT_WAIT,
    REQUEST_CUTOFF_AFTER_SHUTDOWN,
};
use super::turned_away::TurnedAway;
use crate::net::accept_errors::AcceptErrors;
use crate::net::connection_limit::{ConnectionLimit, ConnectionPermit};
use crate::ops::metrics::ConnectionEnd;

/// A listening socket.
pub(super) trait Accept: Send + Sync {
    /// The next connection. Cancel safe.
    fn accept(&self) -> impl Future<Output = io::Result<TcpStream>> + Send;

    /// A connection from the system's accept queue, which the runtime may not have been notified of
    /// yet. Fails with `WouldBlock` if the queue is empty.
    fn accept_queued(&self) -> io::Result<TcpStream>;
}

impl Accept for TcpListener {
    async fn accept(&self) -> io::Result<TcpStream> {
        TcpListener::accept(self).await.map(|(stream, _)| stream)
    }

    fn accept_queued(&self) -> io::Result<TcpStream> {
        let (socket, _) = SockRef::from(self).accept()?;
        socket.set_nonblocking(true)?;
        TcpStream::from_std(socket.into())
    }
}

/// An accepted connection and its permit.
pub(super) struct AcceptedConnection {
    pub(super) stream: TcpStream,
    pub(super) permit: ConnectionPermit,
    /// The earliest instant at which the client may have sent bytes.
    pub(super) unread_since: Instant,
}

/// Whether an accepted connection is admitted.
enum Admission {
    Admitted(AcceptedConnection),
    /// No permit was available in time.
    TurnedAway(TcpStream),
    /// The process shuts down.
    Closed,
}

/// Accepts the connections of one listening socket.
pub(super) struct Acceptor<L> {
    context: ListenerContext,
    listener: L,
    errors: AcceptErrors,
    /// When the accept queue was last found empty. A connection that is accepted later may have
    /// been in the queue since then.
    queue_empty_at: Instant,
    turned_away: TurnedAway,
}

impl<L: Accept> Acceptor<L> {
    pub(super) fn new(context: ListenerContext, listener: L) -> Acceptor<L> {
        Acceptor {
            context,
            listener,
            errors: AcceptErrors::new("listening socket"),
            queue_empty_at: Instant::now(),
            turned_away: TurnedAway::default(),
        }
    }

    /// The next connection. `None` once the accept period after the shutdown signal is over, or if
    /// another process accepts the connections.
    pub(super) async fn next(&mut self) -> Option<AcceptedConnection> {
        loop {
            let stream = self.next_stream().await?;
            match self.admit(stream).await {
                Admission::Admitted(accepted) => return Some(accepted),
                Admission::TurnedAway(stream) => self.turn_away(stream),
                Admission::Closed => return None,
            }
        }
    }

    async fn next_stream(&mut self) -> Option<TcpStream> {
        let mut replacement = self.context.clone();
        let mut succession = self.context.clone();
        let mut shutdown = self.context.clone();
        // checked each time, so that a flood of connections or errors can't hide the shutdown
        while !self.has_stopped() {
            tokio::task::coop::consume_budget().await;
            if *self.context.replaced.borrow() {
                succession.wait_while_succeeded().await;
                self.queue_empty_at = Instant::now();
                continue;
            }
            // calls the system directly, because the runtime also reports an empty queue to a task
            // that has used up its cooperative budget
            match self.listener.accept_queued() {
                Ok(stream) => return Some(stream),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    self.queue_empty_at = Instant::now();
                }
                Err(e) => {
                    self.errors.back_off(&e).await;
                    continue;
                }
            }
            let accepted = tokio::select! {
                biased;
                () = replacement.wait_for_replacement() => continue,
                () = succession.wait_until_succeeded() => continue,
                accepted = self.listener.accept() => accepted,
                // last, so that connections that have arrived by then are accepted first
                () = shutdown.wait_after_shutdown_observed(ACCEPT_PERIOD_AFTER_SHUTDOWN) => {
                    return None;
                }
            };
            match accepted {
                Ok(stream) => {
                    self.queue_empty_at = Instant::now();
                    return Some(stream);
                }
                Err(e) => self.errors.back_off(&e).await,
            }
        }
        if self.context.is_replaced() {
            info!("shutting down: another process accepts the connections");
        }
        None
    }

    /// The next connection from the system's accept queue. `None` once the queue is empty, or if it
    /// is too late for a request. Continues after an error, because connections that are left in
    /// the queue are reset when the listening socket is closed.
    pub(super) async fn next_queued(&mut self) -> Option<AcceptedConnection> {
        while !self.has_stopped() {
            let stream = match self.listener.accept_queued() {
                Ok(stream) => stream,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return None,
                Err(e) => {
                    self.errors.back_off(&e).await;
                    continue;
                }
            };
            match self.admit(stream).await {
                Admission::Admitted(accepted) => return Some(accepted),
                Admission::TurnedAway(stream) => self.turn_away(stream),
                Admission::Closed => return None,
            }
        }
        None
    }

    /// Answers a connection for which there is no permit.
    fn turn_away(&mut self, stream: TcpStream) {
        let clients = self.context.metrics.clients();
        clients.record_connection_end(ConnectionEnd::TurnedAway);
        self.turned_away.answer(stream);
    }

    fn has_stopped(&self) -> bool {
        self.context.is_replaced() || self.context.is_past_shutdown(REQUEST_CUTOFF_AFTER_SHUTDOWN)
    }

    /// Waits for a permit for an accepted connection. The permit is acquired only after a connection
    /// has been accepted, so that no other connection is evicted for nothing.
    async fn admit(&mut self, stream: TcpStream) -> Admission {
        self.errors.reset();
        let mut shutdown = self.context.clone();
        let limit = self.context.connection_limit.clone();
        let waited_too_long = wait_without_evictions(&limit, self.queue_empty_at + MAX_PERMIT_WAIT);
        tokio::select! {
            biased;
            permit = limit.acquire() => match permit {
                Some(permit) => Admission::Admitted(AcceptedConnection {
                    stream,
                    permit,
                    unread_since: self.queue_empty_at,
                }),
                None => Admission::Closed,
            },
            () = shutdown.wait_after_shutdown_signal(REQUEST_CUTOFF_AFTER_SHUTDOWN) => Admission::Closed,
            () = waited_too_long => Admission::TurnedAway(stream),
        }
    }
}

/// Waits until `deadline`, and then until no eviction is in progress.
async fn wait_without_evictions(limit: &ConnectionLimit, deadline: Instant) {
    sleep_until(deadline.into()).await;
    while limit.is_evicting() {
        sleep(EVICTION_CHECK_INTERVAL).await;
    }
}
