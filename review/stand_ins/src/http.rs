//! The client's side of HTTP/1.1, as far as the cases need it.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A response. `whole` is false if the connection ended before the response did.
#[derive(Debug)]
pub struct Response {
    pub status: u16,
    pub head: String,
    pub body: Vec<u8>,
    pub whole: bool,
}

impl Response {
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// A client's connection. Carries one request at a time.
pub struct Client {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

fn ended() -> io::Error {
    io::Error::new(io::ErrorKind::UnexpectedEof, "the connection ended")
}

impl Client {
    pub fn connect(address: &str, patience: Duration) -> io::Result<Client> {
        let address: SocketAddr = address.parse().map_err(io::Error::other)?;
        let stream = TcpStream::connect_timeout(&address, patience)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(patience))?;
        stream.set_write_timeout(Some(patience))?;
        Ok(Client {
            stream,
            buffer: Vec::new(),
        })
    }

    /// Sends a request with a body and reads the response.
    pub fn call(&mut self, head: &str, body: &[u8]) -> io::Result<Response> {
        let length = body.len();
        let head = format!("{head}Host: service.internal\r\nContent-Length: {length}\r\n\r\n");
        self.stream.write_all(head.as_bytes())?;
        self.stream.write_all(body)?;
        self.response()
    }

    fn fill(&mut self) -> io::Result<()> {
        let mut bytes = [0; 16 << 10];
        let count = self.stream.read(&mut bytes)?;
        if count == 0 {
            return Err(ended());
        }
        self.buffer.extend_from_slice(&bytes[..count]);
        Ok(())
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|pair| pair == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 2);
                return Ok(line);
            }
            self.fill()?;
        }
    }

    fn take(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < count {
            self.fill()?;
        }
        Ok(self.buffer.drain(..count).collect())
    }

    /// Reads one response.
    pub fn response(&mut self) -> io::Result<Response> {
        let status_line = self.line()?;
        let status = status_line.split(' ').nth(1).and_then(|s| s.parse().ok());
        let status = status.ok_or_else(|| io::Error::other("no status line"))?;
        let (mut head, mut length, mut chunked) = (String::new(), 0, false);
        loop {
            let line = self.line()?;
            if line.is_empty() {
                break;
            }
            let lower = line.to_ascii_lowercase();
            if let Some(value) = lower.strip_prefix("content-length:") {
                length = value.trim().parse().map_err(io::Error::other)?;
            }
            chunked |= lower.starts_with("transfer-encoding:") && lower.contains("chunked");
            head.push_str(&line);
            head.push('\n');
        }
        let mut body = Vec::new();
        let read = if chunked {
            self.chunks(&mut body)
        } else {
            self.take(length).map(|bytes| body = bytes)
        };
        Ok(Response {
            status,
            head,
            body,
            whole: read.is_ok(),
        })
    }

    fn chunks(&mut self, body: &mut Vec<u8>) -> io::Result<()> {
        loop {
            let line = self.line()?;
            let size = line.split(';').next().unwrap_or_default().trim();
            let size = usize::from_str_radix(size, 16).map_err(io::Error::other)?;
            body.extend(self.take(size)?);
            self.take(2)?;
            if size == 0 {
                return Ok(());
            }
        }
    }
}

/// One request on a connection of its own.
pub fn call(address: &str, patience: Duration, head: &str, body: &[u8]) -> io::Result<Response> {
    Client::connect(address, patience)?.call(head, body)
}
