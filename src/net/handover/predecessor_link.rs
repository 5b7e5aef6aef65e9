//! How a process that starts connects to its predecessor, the process of the same router that runs
//! already.

use std::io;
use std::time::Duration;

use rustix::io::Errno;
use tokio::net::UnixStream;
use tokio::time::{Instant, sleep, timeout_at};
use tracing::{debug, info, warn};

use super::message::PeerMessage;
use super::message_stream::{Connection, MessageError};
use super::rendezvous::Rendezvous;
use super::{PEER_TIMEOUT, PROTOCOL_VERSION};
use crate::backoff::Backoff;
use crate::net::discovery::endpoint_list::EndpointList;
use crate::ops::maintenance_state::MaintenanceState;

/// The first wait before another attempt to connect.
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(2);
/// The longest such wait, short beside the time for all attempts.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(50);

/// A connection to the predecessor, and what it answered.
pub struct PredecessorLink {
    pub(super) connection: Connection,
    /// The predecessor's maintenance state; `None` where it doesn't answer in time.
    pub maintenance: Option<MaintenanceState>,
    /// The predecessor's endpoint list.
    pub endpoints: Option<EndpointList>,
}

/// Why one attempt to connect to a predecessor failed.
#[derive(Debug, thiserror::Error)]
enum ConnectError {
    /// No process listens at the rendezvous socket.
    #[error("there is no predecessor process")]
    NoPredecessor,
    /// The attempt failed, which says nothing of whether there is a predecessor.
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

/// Whether an error of `connect` proves that there is no predecessor: there is no socket, nobody
/// listens on it, or the system has no Unix sockets.
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
    /// Connects to the process that listens at the rendezvous socket, if there is one. An attempt
    /// that fails without proof that there is none is repeated for a while: two processes that don't
    /// know of each other would both use all of the limits.
    pub async fn connect_to_predecessor(&self) -> Option<PredecessorLink> {
        self.connect_within(PEER_TIMEOUT).await
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
                    "{}: {error}; starting from the file, as without a predecessor process",
                    path.display()
                );
                return None;
            }
            debug!("{}: {error}", path.display());
            sleep(delay).await;
        }
    }

    async fn connect_once(&self, deadline: Instant) -> Result<PredecessorLink, ConnectError> {
        let stream = timeout_at(deadline, UnixStream::connect(self.socket_path()))
            .await
            .unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
            .map_err(ConnectError::from_connect)?;
        let mut connection = Connection::new(stream);
        let greeting = greet(&mut connection, deadline).await?;
        Ok(PredecessorLink {
            connection,
            maintenance: greeting.maintenance,
            endpoints: greeting.endpoints,
        })
    }
}

/// The predecessor's answer to the hello; empty where it doesn't answer in time.
#[derive(Default)]
struct Greeting {
    maintenance: Option<MaintenanceState>,
    endpoints: Option<EndpointList>,
}

async fn greet(connection: &mut Connection, deadline: Instant) -> Result<Greeting, MessageError> {
    let answer = match timeout_at(deadline, exchange_hellos(connection)).await {
        Ok(answer) => answer?,
        Err(_) => return Ok(unanswered()),
    };
    match answer {
        Some(PeerMessage::HelloAcknowledged {
            maintenance,
            endpoints,
        }) => {
            info!("connected to the predecessor process");
            Ok(Greeting {
                maintenance: Some(maintenance),
                endpoints,
            })
        }
        Some(_) => Ok(unanswered()),
        // it has exited, or accepts no more successors: the next attempt shows which
        None => Err(io::Error::from(io::ErrorKind::UnexpectedEof).into()),
    }
}

fn unanswered() -> Greeting {
    warn!("the predecessor process doesn't answer; starting from the file");
    Greeting::default()
}

/// Sends the hello; the predecessor's answer.
async fn exchange_hellos(connection: &mut Connection) -> Result<Option<PeerMessage>, MessageError> {
    let hello = PeerMessage::Hello {
        version: PROTOCOL_VERSION,
    };
    connection.writer.write(&hello).await?;
    connection.reader.read().await
}

#[cfg(test)]
mod tests;
