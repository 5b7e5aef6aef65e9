//! Clients that send requests on their connection until it is closed, and how each of the requests
//! ended.
#![allow(dead_code)]

use std::time::Duration;

use stilespan::net::http::{Body, Buffer, HttpError, read_response_head};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{Instant, sleep};

use super::peers::{fresh_id, request_of};

/// How a client writes.
#[derive(Clone, Copy, Debug)]
pub enum Writing {
    /// One request in one write.
    Complete,
    /// Three requests in one write.
    Pipelined,
    /// One request in four writes.
    InPieces,
}

/// A request of a client.
pub struct Sent {
    pub id: String,
    /// When its last byte was written; none where the connection closed before that.
    pub written_at: Option<Instant>,
    pub answer_began: bool,
    pub answered: bool,
}

/// A client's connection, and the requests sent on it.
pub struct Connection {
    writing: Writing,
    stream: TcpStream,
    buffer: Buffer,
    pub requests: Vec<Sent>,
    /// The router closed it without having read all bytes.
    pub reset: bool,
}

impl Connection {
    pub async fn open(address: &str, writing: Writing) -> Connection {
        let stream = TcpStream::connect(address).await.unwrap();
        Connection {
            writing,
            stream,
            buffer: Buffer::default(),
            requests: Vec::new(),
            reset: false,
        }
    }

    /// Writes the next requests; one that can't be written completely was not sent.
    async fn write(&mut self, deadline: Duration) {
        let (count, pieces) = match self.writing {
            Writing::Complete => (1, 1),
            Writing::Pipelined => (3, 1),
            Writing::InPieces => (1, 4),
        };
        let ids: Vec<String> = (0..count).map(|_| fresh_id()).collect();
        let of = |id: &String| request_of(id, "hint", deadline.as_millis() as u64, "");
        let text: Vec<u8> = ids.iter().flat_map(of).collect();
        let mut written = true;
        for (n, piece) in text.chunks(text.len().div_ceil(pieces)).enumerate() {
            if n > 0 {
                sleep(Duration::from_millis(25)).await;
            }
            written = written && self.stream.write_all(piece).await.is_ok();
        }
        let written_at = written.then(Instant::now);
        self.reset |= !written;
        let sent = |id| Sent {
            id,
            written_at,
            answer_began: false,
            answered: false,
        };
        self.requests.extend(ids.into_iter().map(sent));
    }

    /// Reads the answer to the first request without one.
    async fn read(&mut self) -> Result<(), HttpError> {
        let Some(request) = self.requests.iter_mut().find(|sent| !sent.answered) else {
            return Ok(());
        };
        let head = read_response_head(&mut self.buffer, &mut self.stream).await?;
        request.answer_began = true;
        let mut body = Body::new(head.framing(true)?);
        while body
            .next(&mut self.buffer, &mut self.stream)
            .await?
            .is_some()
        {}
        request.answered = true;
        Ok(())
    }

    /// Sends and reads, also behind an answer that announces a close, until the connection is
    /// closed and the program killed.
    pub async fn run(
        mut self,
        deadline: Duration,
        mut killed: watch::Receiver<bool>,
    ) -> Connection {
        let end = loop {
            self.write(deadline).await;
            let mut read = Ok(());
            while read.is_ok() && self.requests.iter().any(|sent| !sent.answered) {
                read = self.read().await;
            }
            match read {
                Ok(()) => sleep(Duration::from_millis(10)).await,
                Err(end) => break end,
            }
        };
        killed.wait_for(|&killed| killed).await.unwrap();
        self.reset |=
            matches!(end, HttpError::Io(_)) || self.stream.take_error().unwrap().is_some();
        self
    }

    /// The requests that were lost, given which of them reached a model server. A request that was
    /// written before `in_time` and whose answer has begun is not counted: the platform loses it.
    pub fn lost(&self, term: Instant, in_time: Instant, ran: impl Fn(&str) -> bool) -> Vec<String> {
        let lost = |sent: &&Sent| {
            let outlasts = sent.answer_began && sent.written_at.is_some_and(|at| at < in_time);
            let unread = sent.written_at.is_none() || self.reset;
            !sent.answered && !outlasts && (ran(&sent.id) || !unread)
        };
        let describe = |sent: &Sent| {
            let Sent {
                id,
                written_at,
                answer_began,
                ..
            } = sent;
            let written = written_at.map(|at| at.saturating_duration_since(term));
            format!(
                "{:?} {id}, written after {written:?}, ran {}, began {answer_began}",
                self.writing,
                ran(id)
            )
        };
        self.requests.iter().filter(lost).map(describe).collect()
    }
}
