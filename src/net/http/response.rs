//! Reading responses from a connection.

use bytes::Bytes;
use tokio::io::AsyncRead;
use tokio::time::timeout;

use super::parse::take_response_head;
use super::{Body, Buffer, Head, HttpError, PARTIAL_MESSAGE_TIMEOUT};

/// A complete response.
#[derive(Clone, Debug)]
pub struct Response {
    /// The head.
    pub head: Head,
    /// The body, without its framing.
    pub body: Bytes,
}

/// Reads one complete response. Fails if its body is longer than `max_bytes`. The caller has to
/// apply a timeout.
pub async fn read_response(
    buffer: &mut Buffer,
    from: &mut (impl AsyncRead + Unpin),
    max_bytes: usize,
) -> Result<Response, HttpError> {
    let head = read_response_head(buffer, from).await?;
    let mut body = Body::new(head.response_framing()?);
    let body = body.read_to_end(buffer, from, max_bytes).await?;
    Ok(Response { head, body })
}

/// Reads a response head. The caller limits the wait for its first byte and for the whole head.
/// Between its bytes the server may pause for [`PARTIAL_MESSAGE_TIMEOUT`], so that a head that never
/// ends does not occupy its request until the deadline.
pub async fn read_response_head(
    buffer: &mut Buffer,
    from: &mut (impl AsyncRead + Unpin),
) -> Result<Head, HttpError> {
    let mut interim_responses = 0;
    loop {
        if let Some(head) = take_response_head(buffer, &mut interim_responses)? {
            return Ok(head);
        }
        if buffer.is_empty() {
            buffer.fill_some(from).await?;
            continue;
        }
        let more = timeout(PARTIAL_MESSAGE_TIMEOUT, buffer.fill_some(from)).await;
        more.map_err(|_| HttpError::Timeout)??;
    }
}
