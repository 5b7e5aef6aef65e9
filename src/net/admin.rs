//! The HTTP server at the operators' address: six commands, one request per connection.
//!
//! Owns the operators' connections; [`crate::lifecycle`] executes the commands. The file
//! descriptors of these connections are not part of the limits for clients and model servers, and
//! commands don't queue behind clients' messages.

mod connection;
mod request;
mod response;

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

use super::accept_errors::AcceptErrors;
use crate::lifecycle::Lifecycle;

/// Maximum number of open connections: enough for a few operators and the platform's health checks.
/// A further connection closes the oldest one whose request hasn't arrived.
const MAX_CONNECTIONS: usize = 8;

/// An operator's connection.
struct Connection {
    /// Set once the request has arrived and its execution begins.
    has_request: Arc<AtomicBool>,
    task: JoinHandle<()>,
}

/// The open connections, oldest first.
#[derive(Default)]
struct Connections {
    open: VecDeque<Connection>,
}

impl Connections {
    /// Serves an accepted connection. Closes it if [`MAX_CONNECTIONS`] requests are being executed:
    /// they finish soon, and the operator can retry.
    fn add(&mut self, stream: TcpStream, lifecycle: &Arc<Lifecycle>) {
        self.open
            .retain(|connection| !connection.task.is_finished());
        if self.open.len() >= MAX_CONNECTIONS && !self.close_oldest_without_request() {
            return;
        }
        let has_request = Arc::<AtomicBool>::default();
        let task = tokio::spawn(connection::serve(
            stream,
            lifecycle.clone(),
            has_request.clone(),
        ));
        self.open.push_back(Connection { has_request, task });
    }

    /// Closes the oldest connection whose request hasn't arrived. Returns whether there was one.
    fn close_oldest_without_request(&mut self) -> bool {
        let oldest = self
            .open
            .iter()
            .position(|connection| !connection.has_request.load(Ordering::Relaxed));
        let Some(connection) = oldest.and_then(|index| self.open.remove(index)) else {
            return false;
        };
        connection.task.abort();
        true
    }
}

/// Accepts and serves operators' connections until the future is dropped.
pub async fn serve(listener: TcpListener, lifecycle: Arc<Lifecycle>) {
    let mut connections = Connections::default();
    let mut errors = AcceptErrors::new("operators' address");
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                errors.reset();
                connections.add(stream, &lifecycle);
            }
            Err(error) => errors.back_off(&error).await,
        }
    }
}
