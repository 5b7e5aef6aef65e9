//! Connects a starting process to its predecessor, the process of the same router that is already
//! running.

use std::io;
use std::time::Duration;

use rustix::io::Errno;
use tokio::net::UnixStream;
use tokio::time::{Instant, sleep, timeout_at};
use tracing::{debug, info, warn};

use super::hello_reply::HelloReply;
use super::message::PeerMessage;
use super::message_stream::{Connection, MessageError};
use super::rendezvous::Rendezvous;
use super::{PEER_TIMEOUT, PROTOCOL_VERSION};
use crate::backoff::Backoff;

/// Initial delay between attempts to connect.
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(2);
/// Maximum delay between attempts to connect. Short compared with the time limit for all attempts.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(50);

/// How long a process that has lost its predecessor looks for another one. A process that serves
/// again after its successor has exited binds the socket in this time.
const REBIND_TIME: Duration = Duration::from_millis(50);

/// A connection to the predecessor, with the data of its reply to the hello.
pub struct PredecessorLink {
    pub(super) connection: Connection,
    /// The state in the reply. Whoever starts with a part of it takes it out; the rest is adopted
    /// when the exchange begins.
    pub reply: HelloReply,
}

/// Why one attempt to connect to a predecessor failed.
#[derive(Debug, thiserror::Error)]
enum ConnectError {
    /// No other process listens on the rendezvous socket.
    #[error("there is no predecessor process")]
    NoPredecessor,
    /// The attempt failed in a way that doesn't show whether there is a predecessor.
    #[error(transparent)]
    Failed(#[from] MessageError),
}

impl ConnectError {
    fn from_connect(error: io::Error) -> ConnectError {
        if proves_no_predecessor(&error) {
            ConnectError::NoPredecessor
        } else {
            ConnectError::Failed(error.into())
        }
    }
}

/// Whether an error of `connect` proves that there is no predecessor: the socket doesn't exist, no
/// process listens on it, or the system doesn't support Unix sockets.
fn proves_no_predecessor(error: &io::Error) -> bool {
    matches!(
        Errno::from_io_error(error),
        Some(
            Errno::NOENT
                | Errno::CONNREFUSED
                | Errno::AFNOSUPPORT
                | Errno::PROTONOSUPPORT
                | Errno::OPNOTSUPP
                | Errno::NOSYS
        )
    )
}

impl Rendezvous {
    /// Connects to the process that listens on the rendezvous socket, if there is one.
    ///
    /// An attempt that fails without proving that there is none is retried for up to
    /// `PEER_TIMEOUT`: two processes that are not connected to each other would both use all of the
    /// limits.
    pub async fn connect_to_predecessor(&self) -> Option<PredecessorLink> {
        self.connect_within(PEER_TIMEOUT).await
    }

    /// Connects to another predecessor after the connection to one has ended. `None` if there is
    /// none, or if this process is the one that listens on the rendezvous socket.
    pub(super) async fn connect_to_another(&self) -> Option<PredecessorLink> {
        let deadline = Instant::now() + REBIND_TIME;
        let mut backoff = Backoff::new(FIRST_RETRY_DELAY, MAX_RETRY_DELAY);
        while !self.owns_socket() {
            if let Some(link) = self.connect_to_predecessor().await {
                return Some(link);
            }
            if Instant::now() >= deadline {
                break;
            }
            sleep(backoff.next_delay()).await;
        }
        None
    }

    async fn connect_within(&self, limit: Duration) -> Option<PredecessorLink> {
        let deadline = Instant::now() + limit;
        let mut backoff = Backoff::new(FIRST_RETRY_DELAY, MAX_RETRY_DELAY);
        loop {
            let error = match self.connect_once(deadline).await {
                Ok(link) => return Some(link),
                Err(ConnectError::NoPredecessor) => return None,
                Err(ConnectError::Failed(error)) => error,
            };
            let path = self.socket_path();
            let delay = backoff.next_delay();
            if Instant::now() + delay >= deadline {
                warn!(
                    "{}: connecting to a predecessor process failed: {error}; starting from the \
                     maintenance file, as if there were none",
                    path.display()
                );
                return None;
            }
            debug!(
                "{}: connecting to a predecessor process failed: {error}; retrying",
                path.display()
            );
            sleep(delay).await;
        }
    }

    async fn connect_once(&self, deadline: Instant) -> Result<PredecessorLink, ConnectError> {
        if self.owns_socket() {
            return Err(ConnectError::NoPredecessor);
        }
        let stream = timeout_at(deadline, UnixStream::connect(self.socket_path()))
            .await
            .unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
            .map_err(ConnectError::from_connect)?;
        let mut connection = Connection::new(stream);
        let reply = perform_handshake(&mut connection, deadline).await?;
        Ok(PredecessorLink { connection, reply })
    }
}

async fn perform_handshake(
    connection: &mut Connection,
    deadline: Instant,
) -> Result<HelloReply, MessageError> {
    let answer = match timeout_at(deadline, exchange_hellos(connection)).await {
        Ok(answer) => answer?,
        Err(_) => return Ok(missing_reply()),
    };
    match answer {
        Some(PeerMessage::HelloAcknowledged {
            maintenance,
            endpoints,
            id_key,
        }) => {
            info!("connected to the predecessor process");
            Ok(HelloReply {
                maintenance: Some(maintenance),
                endpoints,
                id_key,
            })
        }
        Some(_) => Ok(missing_reply()),
        // the predecessor has exited or accepts no more successors; the next attempt shows which
        None => Err(io::Error::from(io::ErrorKind::UnexpectedEof).into()),
    }
}

fn missing_reply() -> HelloReply {
    warn!("the predecessor process sent no valid reply; starting from the maintenance file");
    HelloReply::default()
}

/// Sends the hello and returns the predecessor's reply. `None` if the connection is closed.
async fn exchange_hellos(connection: &mut Connection) -> Result<Option<PeerMessage>, MessageError> {
    let hello = PeerMessage::Hello {
        version: PROTOCOL_VERSION,
        shares_ids: true,
    };
    connection.writer.write(&hello).await?;
    connection.reader.read().await
}

#[cfg(test)]
mod tests;
