//! HTTP/1.1 for the peers, on blocking sockets; independent of the router's implementation.

use std::io::{ErrorKind, Read};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// Size of the buffer of one read, in bytes.
const READ_SIZE: usize = 16 << 10;

/// A connection, and the bytes read from it that are not parsed yet.
pub struct Connection {
    pub stream: TcpStream,
    unused: Vec<u8>,
}

/// The result of a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    More,
    /// The other side has closed.
    Closed,
    /// The connection was reset.
    Reset,
    /// Nothing arrived in time.
    TimedOut,
}

/// A message's head: its first line, and its other lines.
#[derive(Clone, Debug)]
pub struct Head {
    pub first: String,
    lines: Vec<(String, String)>,
}

impl Head {
    fn parse(text: &str) -> Head {
        let mut all = text.split("\r\n");
        let first = all.next().unwrap_or_default().to_string();
        let line = |line: &str| {
            line.split_once(':')
                .map(|(n, v)| (n.to_ascii_lowercase(), v.trim().to_string()))
        };
        Head {
            first,
            lines: all.filter_map(line).collect(),
        }
    }

    pub fn get(&self, name: &str) -> Option<&str> {
        self.lines
            .iter()
            .find(|(n, _)| n == name)
            .map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> Option<u16> {
        self.first.strip_prefix("HTTP/1.1 ")?.get(..3)?.parse().ok()
    }
}

/// A message as far as it arrived.
#[derive(Clone, Debug)]
pub struct Message {
    pub head: Head,
    pub body: Vec<u8>,
    pub complete: bool,
    /// When its first bytes arrived.
    pub began: Instant,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Connection {
        let _ = stream.set_nodelay(true);
        Connection {
            stream,
            unused: Vec::new(),
        }
    }

    /// Whether bytes arrived that belong to no message.
    pub fn has_unused(&self) -> bool {
        !self.unused.is_empty()
    }

    /// Reads more bytes, until this instant.
    pub fn read(&mut self, deadline: Instant) -> Progress {
        let left = deadline
            .saturating_duration_since(Instant::now())
            .max(Duration::from_millis(1));
        let _ = self.stream.set_read_timeout(Some(left));
        let mut buffer = [0; READ_SIZE];
        match self.stream.read(&mut buffer) {
            Ok(0) => Progress::Closed,
            Ok(n) => {
                self.unused.extend_from_slice(&buffer[..n]);
                Progress::More
            }
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                Progress::TimedOut
            }
            Err(e) if e.kind() == ErrorKind::Interrupted => Progress::More,
            Err(_) => Progress::Reset,
        }
    }

    /// Reads a message; the state of the connection where no complete head arrives.
    pub fn message(&mut self, deadline: Instant) -> Result<Message, Progress> {
        while self.unused.is_empty() {
            match self.read(deadline) {
                Progress::More => {}
                other => return Err(other),
            }
        }
        let began = Instant::now();
        let end = loop {
            if let Some(at) = self.unused.windows(4).position(|four| four == b"\r\n\r\n") {
                break at;
            }
            match self.read(deadline) {
                Progress::More => {}
                other => return Err(other),
            }
        };
        let text: Vec<u8> = self.unused.drain(..end + 4).collect();
        let head = Head::parse(&String::from_utf8_lossy(&text[..end]));
        let mut body = Vec::new();
        let complete = match head.get("content-length").and_then(|n| n.parse().ok()) {
            Some(length) => self.bytes(length, &mut body, deadline),
            None if head.get("transfer-encoding").is_some() => self.chunks(&mut body, deadline),
            None => true,
        };
        Ok(Message {
            head,
            body,
            complete,
            began,
        })
    }

    fn bytes(&mut self, length: usize, into: &mut Vec<u8>, deadline: Instant) -> bool {
        while self.unused.len() < length {
            if self.read(deadline) != Progress::More {
                into.append(&mut self.unused);
                return false;
            }
        }
        into.extend(self.unused.drain(..length));
        true
    }

    fn chunks(&mut self, into: &mut Vec<u8>, deadline: Instant) -> bool {
        loop {
            let Some(size) = self
                .line(deadline)
                .and_then(|line| usize::from_str_radix(&line, 16).ok())
            else {
                return false;
            };
            if !self.bytes(size, into, deadline) || self.line(deadline).is_none() {
                return false;
            }
            if size == 0 {
                return true;
            }
        }
    }

    fn line(&mut self, deadline: Instant) -> Option<String> {
        loop {
            if let Some(at) = self.unused.windows(2).position(|two| two == b"\r\n") {
                let line: Vec<u8> = self.unused.drain(..at + 2).collect();
                return Some(String::from_utf8_lossy(&line[..at]).into_owned());
            }
            if self.read(deadline) != Progress::More {
                return None;
            }
        }
    }
}
