//! Polls one host for its models: `GET /v1/models` in the public OpenAI format.

use std::io;
use std::time::Duration;

use serde_json::Value;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::time::timeout;
use tracing::info;

use crate::net::connection_limit::ConnectionLimit;
use crate::net::http::{Buffer, HttpError, Response, read_response};
use crate::net::stream::Stream;

/// The maximum duration of a poll, including the wait for a connection.
const POLL_TIMEOUT: Duration = Duration::from_secs(2);
/// The maximum size of a response body, in bytes.
const MAX_BODY_BYTES: usize = 256 << 10;

/// Why a poll returned no models.
#[derive(Debug, Error)]
pub(super) enum PollError {
    /// The router is shutting down and opens no more connections.
    #[error("the router is shutting down and opens no more connections")]
    ConnectionLimitClosed,
    /// The connection failed.
    #[error(transparent)]
    Connection(#[from] io::Error),
    /// The response is not valid HTTP.
    #[error(transparent)]
    Http(#[from] HttpError),
    /// The response status is not 200.
    #[error("response status {0}")]
    Status(u16),
    /// The response body is not JSON.
    #[error("the response body is not JSON: {0}")]
    Body(#[from] serde_json::Error),
    /// The response body is JSON, but has no list of models.
    #[error("the response body has no list of models")]
    NoModelList,
    /// There was no response within [`POLL_TIMEOUT`].
    #[error("the poll timed out")]
    Timeout,
}

/// Fetches the names of a host's models.
pub(super) async fn poll_models(
    address: &str,
    connection_limit: &ConnectionLimit,
) -> Result<Vec<String>, PollError> {
    let models = timeout(POLL_TIMEOUT, fetch_models(address, connection_limit))
        .await
        .unwrap_or(Err(PollError::Timeout))?;
    info!("{address} reports {} models", models.len());
    Ok(models)
}

async fn fetch_models(
    address: &str,
    connection_limit: &ConnectionLimit,
) -> Result<Vec<String>, PollError> {
    let _permit = connection_limit
        .acquire()
        .await
        .ok_or(PollError::ConnectionLimitClosed)?;
    let mut stream = Stream::new(TcpStream::connect(address).await?);
    let request =
        format!("GET /v1/models HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).await?;
    let mut buffer = Buffer::default();
    let Response { head, body } = read_response(&mut buffer, &mut stream, MAX_BODY_BYTES).await?;
    if head.status != 200 {
        return Err(PollError::Status(head.status));
    }
    model_names(&serde_json::from_slice(&body)?)
}

/// The names in a list of models. Entries without a name are skipped.
fn model_names(list: &Value) -> Result<Vec<String>, PollError> {
    let models = list["data"].as_array().ok_or(PollError::NoModelList)?;
    let names = models
        .iter()
        .filter_map(|model| model["id"].as_str().map(String::from));
    Ok(names.collect())
}
