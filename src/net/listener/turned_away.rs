//! Rejects connections for which the limit on connections has no room, without reading requests.
//!
//! Each gets a 503 at once. A close with unread bytes resets the connection and may discard the
//! answer, so what the client has sent is read and discarded, for a short time and for a few
//! connections at once.

use std::io::{self, Read, Write};
use std::net::Shutdown;

use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::timeout;
use tracing::debug;

use super::time_limits::EVICTED_CLOSE_TIMEOUT;

/// The number of rejected connections that may wait for their clients to close. Their descriptors
/// are part of the reserve.
const MAX_CLOSING: usize = 8;
/// The bytes of a request that are discarded at a time.
const DISCARDED_BYTES: usize = 4 << 10;
/// The number of times that bytes are discarded ahead of the answer.
const MAX_DISCARDS: usize = 64;

const REJECTION: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nContent-Type: text/plain\r\n\
    Content-Length: 19\r\nConnection: close\r\n\r\nno free connection\n";

/// The rejected connections that are not closed yet.
#[derive(Default)]
pub(super) struct TurnedAway {
    closing: JoinSet<()>,
}

impl TurnedAway {
    /// Answers a connection and closes it.
    pub(super) fn answer(&mut self, stream: TcpStream) {
        while self.closing.try_join_next().is_some() {}
        if let Err(error) = self.try_answer(stream) {
            debug!("a connection could not be rejected with an answer: {error}; closing it");
        }
    }

    fn try_answer(&mut self, stream: TcpStream) -> io::Result<()> {
        // calls the system directly: the runtime has not been notified of a new connection's state
        let mut stream = stream.into_std()?;
        discard_received(&mut stream)?;
        // the answer fits into the empty buffer of a new connection
        stream.write_all(REJECTION)?;
        stream.shutdown(Shutdown::Write)?;
        if self.closing.len() < MAX_CLOSING {
            self.closing.spawn(close(TcpStream::from_std(stream)?));
        }
        Ok(())
    }
}

/// Discards what the client sends until it closes its side.
async fn close(mut stream: TcpStream) {
    let mut bytes = [0; DISCARDED_BYTES];
    let closed_by_client =
        async { while stream.read(&mut bytes).await.is_ok_and(|read| read > 0) {} };
    let _ = timeout(EVICTED_CLOSE_TIMEOUT, closed_by_client).await;
}

/// Discards the bytes that have arrived, up to a limit.
fn discard_received(stream: &mut std::net::TcpStream) -> io::Result<()> {
    let mut bytes = [0; DISCARDED_BYTES];
    for _ in 0..MAX_DISCARDS {
        match stream.read(&mut bytes) {
            Ok(0) => return Ok(()),
            Ok(_) => {}
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(()),
            Err(error) => return Err(error),
        }
    }
    Ok(())
}
