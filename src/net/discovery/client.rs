//! The HTTP client for discovery. Sends one poll at a time, for the complete list or for the
//! changes after a revision. The watcher decides about retries and their delays.

use std::time::Duration;

use thiserror::Error;
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::endpoint_list::EndpointList;
use crate::net::http::{Buffer, HttpError, Response, read_response};
use crate::net::stream::Stream;

/// How long discovery may wait for a change before it responds to a long poll. It is short because
/// a change at discovery applies to this router soon afterwards, whether or not the response
/// arrived, so a lost response must be detected before that.
const LONG_POLL_WAIT: Duration = Duration::from_secs(3);
/// Maximum duration of connecting, and of waiting for a response beyond [`LONG_POLL_WAIT`].
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum size of a response body in bytes.
const MAX_LIST_BYTES: usize = 4 << 20;

/// Why a poll returned no list.
#[derive(Debug, Error)]
pub(super) enum PollError {
    /// The connection failed, or the response was not valid HTTP.
    #[error(transparent)]
    Http(#[from] HttpError),
    /// Discovery responded with a status other than 200.
    #[error("discovery responded with status {status}")]
    Status { status: u16 },
    /// The response body is not a valid endpoint list.
    #[error("the response is not a valid endpoint list: {0}")]
    Body(#[from] serde_json::Error),
    /// No response arrived in time.
    #[error("the poll timed out")]
    Timeout,
}

/// The part of the list that a poll requests.
#[derive(Clone, Copy, Debug)]
pub(super) enum Query {
    /// The complete list, without waiting for a change.
    CompleteList,
    /// The changes after a revision. Discovery responds as soon as there are any.
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

/// Polls discovery over one connection, which is reused while discovery keeps it open.
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
        let Response { head, body } = read_response(buffer, stream, MAX_LIST_BYTES).await?;
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
