//! Listening sockets and their clients' connections.
//!
//! Accepts connections within the limit until the process ends, and manages each connection's state
//! and its close. Parses HTTP/1.1 heads and bodies only as far as needed to find where a request
//! ends. The protocols that use this module (`net::downstream` and `batch::http_api`) interpret the
//! requests and answer them.

mod acceptor;
mod arrival;
mod body;
mod client_connection;
mod client_socket;
mod closing;
mod connection_state;
mod context;
mod heartbeat;
mod incoming_request;
mod read_turns;
mod receiving;
mod time_limits;
mod turned_away;

use std::sync::Arc;
use std::time::Instant;

use socket2::SockRef;
use tokio::net::TcpListener;
use tokio::task::JoinSet;
use tokio::time::MissedTickBehavior;

use tracing::warn;

use acceptor::Acceptor;

pub use body::ReceivedBody;
pub use client_connection::ClientConnection;
pub use closing::UnreadRemainder;
pub use connection_state::RequestOutcome;
pub use context::{ListenerContext, wait_until_set};
pub use heartbeat::Heartbeat;
pub use receiving::NextRequest;
pub use time_limits::{ClientTimeouts, MAX_SIGNAL_DELAY, REQUEST_CUTOFF_AFTER_SHUTDOWN};

/// Maximum number of connections that the system queues for each listening socket. The system
/// lowers the number to its own limit (`net.core.somaxconn`, 4096 by default).
const ACCEPT_QUEUE_LENGTH: i32 = 4096;

/// Accepts connections until the process shuts down and no connection is left to accept. Returns
/// once all connections have ended.
pub async fn serve<F, Fut>(
    context: ListenerContext,
    timeouts: ClientTimeouts,
    listener: TcpListener,
    handle: F,
) where
    F: Fn(ClientConnection) -> Fut,
    Fut: Future<Output = ()> + Send + 'static,
{
    set_accept_queue_length(&listener);
    // the heartbeat task is aborted when the set is dropped
    let mut heartbeat = JoinSet::new();
    heartbeat.spawn(run_heartbeat(context.heartbeat.clone()));
    let open = |accepted| handle(ClientConnection::open(accepted, context.clone(), timeouts));
    let mut connections = JoinSet::new();
    let mut acceptor = Acceptor::new(context.clone(), listener);
    while let Some(accepted) = acceptor.next().await {
        connections.spawn(open(accepted));
        while connections.try_join_next().is_some() {}
    }
    while let Some(accepted) = acceptor.next_queued().await {
        connections.spawn(open(accepted));
    }
    drop(acceptor);
    while connections.join_next().await.is_some() {}
}

/// Sets the accept queue's length, so that connections can wait in it when a busy machine accepts
/// them late. The system drops connections that find the queue full, and their clients try again
/// only 1 s later.
fn set_accept_queue_length(listener: &TcpListener) {
    if let Err(error) = SockRef::from(listener).listen(ACCEPT_QUEUE_LENGTH) {
        warn!("the accept queue's length could not be set: {error}; keeping the current length");
    }
}

/// Records beats for as long as the process serves.
async fn run_heartbeat(heartbeat: Arc<Heartbeat>) {
    let mut interval = tokio::time::interval(heartbeat::INTERVAL);
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        heartbeat.beat(Instant::now());
    }
}

/// Makes a connection handler that passes a shared value to `run`.
pub fn handler<T, Fut>(
    shared: Arc<T>,
    run: fn(Arc<T>, ClientConnection) -> Fut,
) -> impl Fn(ClientConnection) -> Fut
where
    Fut: Future<Output = ()> + Send + 'static,
{
    move |connection| run(shared.clone(), connection)
}

#[cfg(test)]
mod tests;
