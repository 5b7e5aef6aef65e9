//! The HTTP client for discovery: one poll at a time, for the complete list or for the changes
//! after a revision. Retries and their delays are the watcher's.

use std::time::Duration;

use thiserror::Error;
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::endpoint_list::EndpointList;
use crate::net::http::{Buffer, CompleteResponse, HttpError, read_response};
use crate::net::stream::Stream;

/// How long discovery may delay its answer to a long poll until there is a change. Short: a list
/// that discovery has changed is in force for this router soon afterwards, whether or not the
/// answer arrived, so a lost answer must be noticed before that.
const LONG_POLL_WAIT: Duration = Duration::from_secs(3);
/// How long connecting may take, and how long an answer may take beyond [`LONG_POLL_WAIT`].
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);
/// The largest body of an answer, in bytes.
const MAX_LIST_BYTES: usize = 4 << 20;

/// Why a poll returned no list.
#[derive(Debug, Error)]
pub(super) enum PollError {
    /// The connection failed, or its bytes were not HTTP.
    #[error(transparent)]
    Http(#[from] HttpError),
    /// Discovery answered with a status other than 200.
    #[error("status {status}")]
    Status { status: u16 },
    /// The body is no endpoint list.
    #[error("not an endpoint list: {0}")]
    Body(#[from] serde_json::Error),
    /// No answer came in time.
    #[error("the poll timed out")]
    Timeout,
}

/// The part of the list that a poll requests.
#[derive(Clone, Copy, Debug)]
pub(super) enum Query {
    /// The complete list, at once.
    CompleteList,
    /// The changes after a revision, as soon as there are any.
    ChangesAfter { revision: u64 },
}

impl Query {
    fn target(self) -> String {
        match self {
            Query::CompleteList => "/catalog/members".to_string(),
            Query::ChangesAfter { revision } => {
                let wait_ms = LONG_POLL_WAIT.as_millis();
                format!("/catalog/members?after={revision}&wait_ms={wait_ms}")
            }
        }
    }
}

struct Connection {
    stream: Stream,
    buffer: Buffer,
}

impl Connection {
    async fn open(address: &str) -> Result<Connection, PollError> {
        let stream = timeout(RESPONSE_TIMEOUT, TcpStream::connect(address))
            .await
            .map_err(|_| PollError::Timeout)?
            .map_err(HttpError::from)?;
        let _ = stream.set_nodelay(true);
        Ok(Connection {
            stream: Stream::new(stream),
            buffer: Buffer::default(),
        })
    }
}

/// Polls discovery over one connection, which is reused while discovery leaves it open.
#[derive(Default)]
pub(super) struct DiscoveryClient {
    connection: Option<Connection>,
}

impl DiscoveryClient {
    /// Polls once. A poll that fails or is dropped closes the connection.
    pub(super) async fn poll(
        &mut self,
        address: &str,
        query: Query,
    ) -> Result<EndpointList, PollError> {
        timeout(
            LONG_POLL_WAIT + RESPONSE_TIMEOUT,
            self.exchange(address, query),
        )
        .await
        .unwrap_or(Err(PollError::Timeout))
    }

    async fn exchange(&mut self, address: &str, query: Query) -> Result<EndpointList, PollError> {
        let mut connection = match self.connection.take() {
            Some(connection) => connection,
            None => Connection::open(address).await?,
        };
        let target = query.target();
        let request = format!("GET {target} HTTP/1.1\r\nHost: {address}\r\n\r\n");
        let Connection { stream, buffer } = &mut connection;
        stream
            .write_all(request.as_bytes())
            .await
            .map_err(HttpError::from)?;
        let CompleteResponse { head, body } = read_response(buffer, stream, MAX_LIST_BYTES).await?;
        if head.status != 200 {
            return Err(PollError::Status {
                status: head.status,
            });
        }
        let list = serde_json::from_slice(&body)?;
        if !head.closes() && connection.buffer.is_empty() {
            self.connection = Some(connection);
        }
        Ok(list)
    }
}
