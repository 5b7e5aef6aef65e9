//! The connections to one server. Idle connections are pooled, and each is watched until it is
//! reused; new ones are opened as needed. This module sends no requests.

use std::collections::VecDeque;
use std::sync::{MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;
use tokio::time::{timeout, timeout_at};
use tracing::debug;

use super::Upstream;
use super::connection::Connection;
use super::dial::dial;
use crate::net::connection_limit::IdleConnection;
use crate::net::http::{Body, Buffer, Framing, Head};
use crate::net::stream::{Stream, StreamState};

/// The fraction of the server's idle timeout after which a connection is not reused any more,
/// because the server may be closing it.
const USABLE_IDLE_FRACTION: f64 = 0.8;
/// The minimum time between the last response on a connection and its reuse. A faulty server may
/// write a second response some milliseconds after the first, which would be taken for the response
/// to the next request.
const MIN_REUSE_DELAY: Duration = Duration::from_millis(25);
/// The maximum time for reading the body of a response that isn't streamed. If it takes longer, the
/// connection is not reused.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(100);
/// The maximum size of the body of a response that isn't streamed, in bytes.
const MAX_DRAINED_BYTES: usize = 16 << 10;

/// An idle connection, owned by the task that watches it until it is claimed.
struct PooledConnection {
    since: Instant,
    claim: oneshot::Sender<()>,
    watcher: JoinHandle<Option<Connection>>,
}

/// The idle connections to a server. The most recently used one is last.
#[derive(Default)]
pub(super) struct Pool {
    idle: VecDeque<PooledConnection>,
    closed: bool,
}

impl Pool {
    /// Closes the idle connections. Connections that are returned later are closed instead of
    /// pooled.
    pub(super) fn close(&mut self) {
        self.closed = true;
        self.idle.clear();
    }

    /// Removes the most recently used connection that may be reused immediately. If there is none,
    /// removes the connection that may be reused soonest.
    fn take(&mut self, now: Instant) -> Option<PooledConnection> {
        let reusable =
            |idle: &PooledConnection| now.saturating_duration_since(idle.since) >= MIN_REUSE_DELAY;
        let position = self.idle.iter().rposition(reusable).unwrap_or(0);
        self.idle.remove(position)
    }
}

impl Upstream {
    pub(super) fn pool(&self) -> MutexGuard<'_, Pool> {
        self.pool.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Reads the body of a response that isn't streamed, and returns its connection to the pool
    /// unless the body ends with the connection. `None` if the body can't be read.
    pub(super) async fn drain_body(
        &self,
        mut connection: Connection,
        head: &Head,
        framing: Framing,
    ) -> Option<Bytes> {
        let mut body = Body::new(framing);
        let Connection { stream, buffer, .. } = &mut connection;
        let read = body.read_to_end(buffer, stream, MAX_DRAINED_BYTES);
        let bytes = timeout(DRAIN_TIMEOUT, read).await.ok()?.ok()?;
        if framing != Framing::UntilClose {
            self.return_to_pool(connection, head);
        }
        Some(bytes)
    }

    /// Takes a connection from the pool or opens a new one. `None` if a new connection can't be
    /// established by the deadline.
    pub(super) async fn acquire_connection(&self, deadline: Instant) -> Option<Connection> {
        loop {
            let Some(idle) = self.pool().take(Instant::now()) else {
                break;
            };
            // if a second response to its last request arrives during this time, the watcher closes
            // the connection
            tokio::time::sleep_until((idle.since + MIN_REUSE_DELAY).into()).await;
            let _ = idle.claim.send(());
            if let Ok(Some(connection)) = idle.watcher.await {
                return Some(connection);
            }
        }
        let deadline = deadline.min(Instant::now() + self.options.connect_timeout);
        timeout_at(deadline.into(), self.open_connection())
            .await
            .ok()
            .flatten()
    }

    /// Opens a new connection. The caller has to apply a timeout.
    async fn open_connection(&self) -> Option<Connection> {
        let permit = self.connection_limit.acquire().await?;
        let address = self.address.as_str();
        let stream = match dial(address, || TcpStream::connect(address)).await {
            Ok(stream) => stream,
            Err(e) => {
                debug!("{address}: failed to connect: {e}");
                return None;
            }
        };
        let _ = stream.set_nodelay(true);
        Some(Connection {
            stream: Stream::new(stream),
            buffer: Buffer::default(),
            _permit: permit,
        })
    }

    /// Returns a connection to the pool after its response was read completely. The connection is
    /// closed instead if the response announces its close or the pool is closed. It is also closed
    /// if further bytes have arrived after the response, as they would be taken for the next one.
    pub(super) fn return_to_pool(&self, connection: Connection, head: &Head) {
        if head.closes() || !connection.buffer.is_empty() {
            return;
        }
        let since = Instant::now();
        let deadline = since
            + self
                .options
                .server_idle_timeout
                .mul_f64(USABLE_IDLE_FRACTION);
        let (claim, claimed) = oneshot::channel();
        let mut pool = self.pool();
        if pool.closed {
            return;
        }
        pool.idle.retain(|idle| !idle.watcher.is_finished());
        let watcher = tokio::spawn(watch_idle(
            connection,
            deadline,
            claimed,
            self.connection_limit.register_idle(),
        ));
        pool.idle.push_back(PooledConnection {
            since,
            claim,
            watcher,
        });
    }
}

/// Watches an idle connection until it is claimed. Before that, the connection is closed if the
/// server closes it or writes to it, if it is evicted to free its descriptor, or at the deadline.
pub(super) async fn watch_idle(
    connection: Connection,
    deadline: Instant,
    claimed: oneshot::Receiver<()>,
    mut idle: IdleConnection,
) -> Option<Connection> {
    // `state` makes a system call, as the runtime may not have noticed yet that the server closed
    // the connection
    let is_quiet = |connection: &Connection| connection.stream.state() == StreamState::Quiet;
    tokio::pin!(claimed);
    tokio::select! {
        biased;
        claim = &mut claimed => {
            claim.ok().filter(|()| is_quiet(&connection)).map(|()| connection)
        }
        () = idle.evicted() => None,
        () = tokio::time::sleep_until(deadline.into()) => None,
        // the server closed the connection, or sent bytes without a request
        _ = connection.stream.readable() => None,
    }
}
