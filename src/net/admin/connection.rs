//! Handles one operator connection: reads the request, executes its command and writes the
//! response.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::time::timeout;
use tracing::debug;

use super::request;
use super::response::Response;
use crate::lifecycle::Lifecycle;
use crate::net::http::{self, Body, Buffer, Head, HttpError};
use crate::net::stream::Stream;

/// Maximum time for a request to arrive completely.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum time to write the response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);
/// How long input that arrives after the response is read and discarded.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(200);
/// Maximum size of a request body in bytes. Commands ignore the body, but a client may send one.
const MAX_BODY_BYTES: usize = 4 << 10;

/// Serves the single request of a connection. Sets `has_request` once the request has arrived.
pub(super) async fn serve(
    stream: TcpStream,
    lifecycle: Arc<Lifecycle>,
    has_request: Arc<AtomicBool>,
) {
    // on failure, only the response is slower
    let _ = stream.set_nodelay(true);
    let mut stream = Stream::new(stream);
    let mut buffer = Buffer::default();
    let read = timeout(REQUEST_TIMEOUT, read_request(&mut stream, &mut buffer)).await;
    let response = match read.unwrap_or(Err(HttpError::Timeout)) {
        Ok(head) => {
            has_request.store(true, Ordering::Relaxed);
            execute(&head, &lifecycle).await
        }
        Err(error) => {
            debug!("an operator's request can't be read: {error}");
            match Response::for_unreadable_request(&error) {
                Some(response) => response,
                None => return,
            }
        }
    };
    let written = timeout(RESPONSE_TIMEOUT, write_response(&mut stream, &response)).await;
    if matches!(written, Ok(Ok(()))) {
        // closing a connection with unread input resets it, which can lose the response
        let _ = timeout(DISCARD_TIMEOUT, discard_input(&mut stream, &mut buffer)).await;
    }
}

async fn read_request(stream: &mut Stream, buffer: &mut Buffer) -> Result<Head, HttpError> {
    let head = loop {
        if let Some(head) = http::take_request_head(buffer)? {
            break head;
        }
        if buffer.fill(stream).await? == 0 {
            return Err(HttpError::ConnectionClosed);
        }
    };
    Body::new(head.request_framing()?)
        .read_to_end(buffer, stream, MAX_BODY_BYTES)
        .await?;
    Ok(head)
}

async fn execute(head: &Head, lifecycle: &Lifecycle) -> Response {
    let command = match request::parse(head) {
        Ok(command) => command,
        Err(error) => return error.into(),
    };
    lifecycle
        .execute(command)
        .await
        .map_or_else(Response::from, Response::ok)
}

async fn write_response(stream: &mut Stream, response: &Response) -> io::Result<()> {
    stream.write_all(&response.encode()).await?;
    stream.shutdown_write()
}

/// Reads and discards input until the operator closes the connection or it fails.
async fn discard_input(stream: &mut Stream, buffer: &mut Buffer) {
    while matches!(buffer.fill(stream).await, Ok(count) if count > 0) {
        buffer.skip(usize::MAX);
    }
}
