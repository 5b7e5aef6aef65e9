//! Files handed out, whole or by ranges.

use tokio::io::{AsyncReadExt, AsyncSeekExt};

use crate::api::{ApiError, reason};
use crate::batch::store::StoredFile;
use crate::net::http::{Head, HttpError};
use crate::net::listener::RequestOutcome;

use super::{READ, Session};

impl Session {
    /// Sends a file, or the range of it that is asked for.
    pub(super) async fn content(
        &mut self,
        head: &Head,
        stored: StoredFile,
        close: bool,
    ) -> Result<(), HttpError> {
        let StoredFile { mut file, info } = stored;
        let tag = format!("\"{}-{}\"", info.id, info.bytes);
        // a range of another state of the file would be no help: then the whole of it goes out
        let same = head.get("if-range").is_none_or(|t| t == tag);
        let range = head
            .get("range")
            .filter(|_| same)
            .map(|r| range(r, info.bytes));
        let (status, from, to) = match range {
            None | Some(Range::Whole) => (200, 0, info.bytes),
            Some(Range::Part(from, to)) => (206, from, to),
            Some(Range::None) => {
                let e = ApiError::new(416, "Range", "no such bytes");
                let e = e.with("Content-Range", format!("bytes */{}", info.bytes));
                return self.error(head, e, close).await;
            }
        };
        let mut text = format!(
            "HTTP/1.1 {status} {}\r\nContent-Type: application/jsonl\r\n",
            reason(status)
        );
        text.push_str(&format!("x-request-id: {}\r\n", self.id));
        text.push_str(&format!(
            "Content-Length: {}\r\nAccept-Ranges: bytes\r\nETag: {tag}\r\n",
            to - from
        ));
        if status == 206 {
            text.push_str(&format!(
                "Content-Range: bytes {from}-{}/{}\r\n",
                to - 1,
                info.bytes
            ));
        }
        text.push_str(if close {
            "Connection: close\r\n\r\n"
        } else {
            "\r\n"
        });
        self.peer.write(text.as_bytes()).await?;
        if head.method == "HEAD" {
            self.peer.finish_request(RequestOutcome::Answered);
            return Ok(());
        }
        file.seek(std::io::SeekFrom::Start(from)).await?;
        let mut rest = file.take(to - from);
        let mut room = vec![0; READ];
        let mut sent = 0;
        while sent < to - from {
            let n = rest.read(&mut room).await?;
            if n == 0 {
                return Err(HttpError::ConnectionClosed);
            }
            self.peer.write(&room[..n]).await?;
            sent += n as u64;
        }
        self.peer.finish_request(RequestOutcome::Answered);
        Ok(())
    }
}

/// What a `Range` asks for.
#[derive(Debug, PartialEq)]
enum Range {
    Whole,
    /// From the first to before the second byte.
    Part(u64, u64),
    None,
}

/// Reads a `Range`; more than one range, or another unit, comes to the whole, as the standard
/// allows.
fn range(text: &str, size: u64) -> Range {
    let Some((from, to)) = text.strip_prefix("bytes=").and_then(|r| r.split_once('-')) else {
        return Range::Whole;
    };
    match (from.trim().parse::<u64>(), to.trim().parse::<u64>()) {
        (Ok(from), Ok(to)) if from > to => Range::Whole,
        (Ok(from), _) if from >= size => Range::None,
        (Ok(from), Ok(to)) => Range::Part(from, to.saturating_add(1).min(size)),
        (Ok(from), Err(_)) if to.trim().is_empty() => Range::Part(from, size),
        (Err(_), Ok(0)) if from.trim().is_empty() => Range::None,
        (Err(_), Ok(last)) if from.trim().is_empty() && size > 0 => {
            Range::Part(size.saturating_sub(last), size)
        }
        _ => Range::Whole,
    }
}

#[cfg(test)]
mod tests;
