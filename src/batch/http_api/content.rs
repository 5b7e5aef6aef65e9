//! Sends the content of files, whole or in part.

use std::fmt::Write;
use std::io::SeekFrom;

use tokio::io::{AsyncReadExt, AsyncSeekExt};

use super::range::{ByteRange, parse_range};
use super::reply::status_line;
use super::session::Session;
use crate::api::{ApiError, Reply};
use crate::batch::store::StoredFile;
use crate::net::http::{Head, HttpError};
use crate::net::listener::RequestOutcome;

/// How many bytes are read from the spool at a time.
const READ_SIZE_BYTES: usize = 32 << 10;

/// The part of a file that is sent.
struct ContentPart {
    /// The offset of the first byte.
    start: u64,
    /// The offset after the last byte.
    end: u64,
    /// Whether the client requested a range, so that the status is 206.
    is_partial: bool,
}

impl Session {
    /// Sends a file, or the requested range of it.
    pub(super) async fn send_content(
        &mut self,
        head: &Head,
        stored: StoredFile,
        close: bool,
    ) -> Result<(), HttpError> {
        let size = stored.info.bytes;
        let etag = format!("\"{}-{size}\"", stored.info.id);
        // if `If-Range` names another version of the file, `Range` is ignored and the whole file is
        // sent
        let is_same_version = head.get("if-range").is_none_or(|version| version == etag);
        let range = head.get("range").filter(|_| is_same_version);
        let part = match range.map(|range| parse_range(range, size)) {
            None | Some(ByteRange::Full) => ContentPart {
                start: 0,
                end: size,
                is_partial: false,
            },
            Some(ByteRange::Part { start, end }) => ContentPart {
                start,
                end,
                is_partial: true,
            },
            Some(ByteRange::Unsatisfiable) => {
                let error = ApiError::new(416, "Range", "no such bytes")
                    .with("Content-Range", format!("bytes */{size}"));
                return self.reply(head, &Reply::from(&error), close).await;
            }
        };
        let message_head = self.content_head(&part, size, &etag, close);
        self.connection.write(message_head.as_bytes()).await?;
        if head.method != "HEAD" {
            self.send_part(stored, &part).await?;
        }
        self.connection.finish_request(RequestOutcome::Answered);
        Ok(())
    }

    fn content_head(&self, part: &ContentPart, size: u64, etag: &str, close: bool) -> String {
        let ContentPart { start, end, .. } = part;
        let mut head = status_line(if part.is_partial { 206 } else { 200 });
        head.push_str("Content-Type: application/jsonl\r\n");
        let _ = write!(head, "x-request-id: {}\r\n", self.request_id);
        let _ = write!(head, "Content-Length: {}\r\n", end - start);
        head.push_str("Accept-Ranges: bytes\r\n");
        let _ = write!(head, "ETag: {etag}\r\n");
        if part.is_partial {
            let last = end - 1;
            let _ = write!(head, "Content-Range: bytes {start}-{last}/{size}\r\n");
        }
        if close {
            head.push_str("Connection: close\r\n");
        }
        head.push_str("\r\n");
        head
    }

    async fn send_part(
        &mut self,
        mut stored: StoredFile,
        part: &ContentPart,
    ) -> Result<(), HttpError> {
        stored.file.seek(SeekFrom::Start(part.start)).await?;
        let length = part.end - part.start;
        let mut content = stored.file.take(length);
        let mut buffer = vec![0; READ_SIZE_BYTES];
        let mut sent = 0;
        while sent < length {
            let count = content.read(&mut buffer).await?;
            if count == 0 {
                return Err(HttpError::ConnectionClosed);
            }
            self.connection.write(&buffer[..count]).await?;
            sent += count as u64;
        }
        Ok(())
    }
}
