//! A poll of one host for its models: `GET /v1/models` in the public OpenAI form.

use std::io;
use std::time::Duration;

use serde_json::Value;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::time::timeout;
use tracing::info;

use crate::net::connection_limit::ConnectionLimit;
use crate::net::http::{Buffer, CompleteResponse, HttpError, read_response};
use crate::net::stream::Stream;

/// How long a poll may take, including the wait for a connection.
const POLL_TIMEOUT: Duration = Duration::from_secs(2);
/// The largest body of an answer, in bytes.
const MAX_BODY_BYTES: usize = 256 << 10;

/// Why a host reports no models.
#[derive(Debug, Error)]
pub(super) enum PollError {
    /// The router is ending: no connections are opened any more.
    #[error("no connections are opened any more")]
    ConnectionLimitClosed,
    /// The connection failed.
    #[error(transparent)]
    Connection(#[from] io::Error),
    /// The answer is not HTTP.
    #[error(transparent)]
    Http(#[from] HttpError),
    /// The status is not 200.
    #[error("status {0}")]
    Status(u16),
    /// The body is not JSON.
    #[error("not JSON: {0}")]
    Body(#[from] serde_json::Error),
    /// The body is JSON without a list of models.
    #[error("not a list of models")]
    NoModelList,
    /// There was no answer in time.
    #[error("the poll timed out")]
    Timeout,
}

/// Polls a host for the names of its models.
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
    let CompleteResponse { head, body } =
        read_response(&mut buffer, &mut stream, MAX_BODY_BYTES).await?;
    if head.status != 200 {
        return Err(PollError::Status(head.status));
    }
    model_names(&serde_json::from_slice(&body)?)
}

/// The names in a list of models; entries without one are left out.
fn model_names(list: &Value) -> Result<Vec<String>, PollError> {
    let models = list["data"].as_array().ok_or(PollError::NoModelList)?;
    let names = models
        .iter()
        .filter_map(|model| model["id"].as_str().map(String::from));
    Ok(names.collect())
}
