//! HTTP/1.1 as the peers need it, on blocking sockets. Written apart from the router's own.

use std::io::{ErrorKind, Read};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// Room for one read.
const READ: usize = 16 << 10;

/// A connection, and what has been read of it and not used.
pub struct Connection {
    pub stream: TcpStream,
    unused: Vec<u8>,
}

/// What a read came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    More,
    /// The other side has closed.
    Closed,
    /// The connection was reset.
    Reset,
    /// Nothing came in time.
    Silent,
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

/// A message as far as it came.
#[derive(Clone, Debug)]
pub struct Message {
    pub head: Head,
    pub body: Vec<u8>,
    pub whole: bool,
    /// When its first bytes were there.
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

    /// Whether there are bytes that nothing has asked for.
    pub fn has_unused(&self) -> bool {
        !self.unused.is_empty()
    }

    /// Reads more, until this instant.
    pub fn read(&mut self, until: Instant) -> Progress {
        let left = until
            .saturating_duration_since(Instant::now())
            .max(Duration::from_millis(1));
        let _ = self.stream.set_read_timeout(Some(left));
        let mut room = [0; READ];
        match self.stream.read(&mut room) {
            Ok(0) => Progress::Closed,
            Ok(n) => {
                self.unused.extend_from_slice(&room[..n]);
                Progress::More
            }
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                Progress::Silent
            }
            Err(e) if e.kind() == ErrorKind::Interrupted => Progress::More,
            Err(_) => Progress::Reset,
        }
    }

    /// Reads a message; how the connection stands where none begins.
    pub fn message(&mut self, until: Instant) -> Result<Message, Progress> {
        while self.unused.is_empty() {
            match self.read(until) {
                Progress::More => {}
                other => return Err(other),
            }
        }
        let began = Instant::now();
        let end = loop {
            if let Some(at) = self.unused.windows(4).position(|four| four == b"\r\n\r\n") {
                break at;
            }
            match self.read(until) {
                Progress::More => {}
                other => return Err(other),
            }
        };
        let text: Vec<u8> = self.unused.drain(..end + 4).collect();
        let head = Head::parse(&String::from_utf8_lossy(&text[..end]));
        let mut body = Vec::new();
        let whole = match head.get("content-length").and_then(|n| n.parse().ok()) {
            Some(length) => self.bytes(length, &mut body, until),
            None if head.get("transfer-encoding").is_some() => self.chunks(&mut body, until),
            None => true,
        };
        Ok(Message {
            head,
            body,
            whole,
            began,
        })
    }

    fn bytes(&mut self, length: usize, into: &mut Vec<u8>, until: Instant) -> bool {
        while self.unused.len() < length {
            if self.read(until) != Progress::More {
                into.append(&mut self.unused);
                return false;
            }
        }
        into.extend(self.unused.drain(..length));
        true
    }

    fn chunks(&mut self, into: &mut Vec<u8>, until: Instant) -> bool {
        loop {
            let Some(size) = self
                .line(until)
                .and_then(|line| usize::from_str_radix(&line, 16).ok())
            else {
                return false;
            };
            if !self.bytes(size, into, until) || self.line(until).is_none() {
                return false;
            }
            if size == 0 {
                return true;
            }
        }
    }

    fn line(&mut self, until: Instant) -> Option<String> {
        loop {
            if let Some(at) = self.unused.windows(2).position(|two| two == b"\r\n") {
                let line: Vec<u8> = self.unused.drain(..at + 2).collect();
                return Some(String::from_utf8_lossy(&line[..at]).into_owned());
            }
            if self.read(until) != Progress::More {
                return None;
            }
        }
    }
}
