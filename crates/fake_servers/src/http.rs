//! The subset of HTTP/1.1 that a fake server needs: requests with `Content-Length`, and responses
//! with `Content-Length` or in chunks.

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Maximum size of a request in bytes, including its head.
const MAX_REQUEST_BYTES: usize = 2 << 20;
/// Maximum number of headers in a request.
const MAX_HEADERS: usize = 64;

/// A complete request.
pub(crate) struct Request {
    pub method: String,
    /// The path without a query.
    pub path: String,
    pub trace_id: Option<String>,
    pub has_authorization: bool,
    pub body: Vec<u8>,
}

/// A request's head, and the lengths of the head and the body in bytes.
struct Head {
    /// The request; its body is still empty.
    request: Request,
    head_length: usize,
    body_length: usize,
}

/// The error of input that is not valid HTTP.
struct Malformed;

/// The server side of a connection, with a buffer of bytes that were read but not yet parsed.
pub(crate) struct Connection {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub(crate) fn new(stream: TcpStream) -> Connection {
        Connection {
            stream,
            buffer: Vec::new(),
        }
    }

    /// Reads the next request. Returns `None` at the end of the connection and on malformed input.
    pub(crate) async fn next_request(&mut self) -> Option<Request> {
        loop {
            if let Some(head) = parse_head(&self.buffer).ok()? {
                let length = head.head_length + head.body_length;
                while self.buffer.len() < length {
                    self.read_more().await?;
                }
                let mut request = head.request;
                request.body = self.buffer[head.head_length..length].to_vec();
                self.buffer.drain(..length);
                return Some(request);
            }
            self.read_more().await?;
        }
    }

    /// Reads the next bytes into the buffer. Returns `None` at the end of the connection and if the
    /// client has sent more than [`MAX_REQUEST_BYTES`].
    async fn read_more(&mut self) -> Option<()> {
        let read = self.stream.read_buf(&mut self.buffer).await.ok()?;
        (read > 0 && self.buffer.len() <= MAX_REQUEST_BYTES).then_some(())
    }

    /// Waits until the client has closed the connection. Buffers the data that arrives until then.
    pub(crate) async fn closed(&mut self) {
        while self.read_more().await.is_some() {}
    }

    /// Writes a complete response. Each line of `headers` must end with CRLF.
    pub(crate) async fn respond(
        &mut self,
        status: &str,
        headers: &str,
        body: &str,
    ) -> std::io::Result<()> {
        let length = body.len();
        let response =
            format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {length}\r\n\r\n{body}");
        self.stream.write_all(response.as_bytes()).await
    }

    /// Writes the head of a chunked response that contains server-sent events.
    pub(crate) async fn begin_events(&mut self) -> std::io::Result<()> {
        let head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
        self.stream.write_all(head.as_bytes()).await
    }

    /// Writes a chunk; an empty chunk ends the response.
    pub(crate) async fn write_chunk(&mut self, text: &str) -> std::io::Result<()> {
        let chunk = format!("{:x}\r\n{text}\r\n", text.len());
        self.stream.write_all(chunk.as_bytes()).await
    }
}

/// Parses a request's head. Returns `None` if the head is not complete yet.
fn parse_head(buffer: &[u8]) -> Result<Option<Head>, Malformed> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut headers);
    let head_length = match parsed.parse(buffer).map_err(|_| Malformed)? {
        httparse::Status::Complete(length) => length,
        httparse::Status::Partial => return Ok(None),
    };
    let header = |name: &str| {
        let header = parsed
            .headers
            .iter()
            .find(|header| header.name.eq_ignore_ascii_case(name))?;
        std::str::from_utf8(header.value).ok()
    };
    let body_length = match header("content-length") {
        Some(length) => length.trim().parse().map_err(|_| Malformed)?,
        None => 0,
    };
    let target = parsed.path.ok_or(Malformed)?;
    let request = Request {
        method: parsed.method.ok_or(Malformed)?.into(),
        path: target.split('?').next().unwrap_or_default().into(),
        trace_id: header("x-trace-id").map(String::from),
        has_authorization: header("authorization").is_some(),
        body: Vec::new(),
    };
    Ok(Some(Head {
        request,
        head_length,
        body_length,
    }))
}
