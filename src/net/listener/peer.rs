//! A peer's side of a connection.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use tokio::io::{AsyncWriteExt, Interest};
use tokio::net::TcpStream;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::timeout;
use tracing::debug;

use super::{DRAIN, EMPTY, EMPTY_CALL, LAST_CALL, LOOK, Patience, STALLED, Shared};
use crate::net::budget::{IdleMark, Permit};
use crate::net::http::{self, Body, Buffer, Head, HttpError};

/// A client's connection.
pub struct Peer {
    /// The socket.
    pub stream: TcpStream,
    /// Its one buffer.
    pub buffer: Buffer,
    pub(super) shared: Shared,
    pub(super) patience: Patience,
    /// When it was opened, until its first request has begun.
    pub(super) opened: Option<Instant>,
    /// While a request arrives: the connection may be closed, and when it is late.
    pub(super) arriving: Option<(IdleMark, Instant)>,
    pub(super) _permit: Permit,
}

/// What a wait for the next request came to.
pub enum Next {
    /// Its head, and when its first byte was read.
    Request(Head, Instant),
    /// Bytes that are none.
    Bad(HttpError),
    /// Its time is up: the connection is to be closed.
    End,
    /// The client has gone, or the connection makes room for another and nothing is owed on it.
    Gone,
}

impl Peer {
    /// Whether the program is to end.
    pub fn ending(&self) -> bool {
        *self.shared.ending.borrow()
    }

    /// Whether the connection is to end after the answer under way, and new clients are to go elsewhere.
    pub fn leaving(&self) -> bool {
        self.ending() || self.shared.drained.borrow().is_some()
    }

    /// Waits for a request's head. While none has begun the connection is idle, and may be closed; while one
    /// arrives it may be closed too, and is once it is late. Guards against clients that connect in their
    /// hundreds and say nothing, or never finish.
    pub async fn next(&mut self) -> Next {
        let mut shared = self.shared.clone();
        let mut mark = self.shared.budget.idle();
        let opened = self.opened.take();
        let mut drained = shared.clone();
        // guards against a request that comes behind a long answer, too late to be answered before the platform ends
        // the program: what is not begun is sent once more elsewhere
        if shared.ended(LAST_CALL) {
            return Next::End;
        }
        if self.buffer.is_empty() {
            let idle = opened.unwrap_or_else(Instant::now) + self.patience.idle;
            tokio::select! {
                biased;
                () = shared.after_end(LAST_CALL) => return Next::End,
                read = self.buffer.fill(&mut self.stream) => if !matches!(read, Ok(n) if n > 0) {
                    return Next::Gone;
                },
                () = mark.evicted() => return Next::Gone,
                () = drained.emptied(opened, EMPTY) => return Next::End,
                () = tokio::time::sleep_until(idle.into()) => return Next::End,
            }
        }
        let at = Instant::now();
        mark.arrives();
        self.arriving = Some((mark, opened.unwrap_or(at) + self.patience.arriving));
        loop {
            match http::request_head(&mut self.buffer) {
                Ok(Some(head)) => return Next::Request(head, at),
                Ok(None) => {}
                Err(e) => return Next::Bad(e),
            }
            match self.more().await {
                Ok(()) => {}
                Err(HttpError::Late) => return Next::Bad(HttpError::Late),
                Err(_) => return Next::Gone,
            }
        }
    }

    /// Reads more of a request that arrives. Cancel safe.
    async fn more(&mut self) -> Result<(), HttpError> {
        let mut shared = self.shared.clone();
        let mut drained = shared.clone();
        let Some((mark, until)) = &mut self.arriving else { return Err(HttpError::Ended) };
        let began = until.checked_sub(self.patience.arriving).unwrap_or(*until);
        tokio::select! {
            biased;
            read = self.buffer.fill(&mut self.stream) => {
                mark.arrives();
                if read? > 0 { Ok(()) } else { Err(HttpError::Ended) }
            }
            () = mark.evicted() => Err(HttpError::Ended),
            () = tokio::time::sleep_until((*until).into()) => Err(HttpError::Late),
            () = shared.after_end(LAST_CALL) => Err(HttpError::Late),
            () = drained.emptied(Some(began), EMPTY_CALL) => Err(HttpError::Late),
        }
    }

    /// The next bytes of an arriving request's body; none at its end. Cancel safe.
    async fn part(&mut self, body: &mut Body) -> Result<Option<Bytes>, HttpError> {
        loop {
            if let Some(bytes) = body.take(&mut self.buffer)? {
                return Ok(Some(bytes));
            }
            if body.done() {
                return Ok(None);
            }
            self.more().await?;
        }
    }

    /// An arriving request's body, up to a limit, with its place in the `room` for bodies (in KiB). Room is taken
    /// for what has come, not for what was said to come: guards against promises that fill it.
    pub async fn whole(
        &mut self,
        body: &mut Body,
        most: usize,
        room: &Arc<Semaphore>,
    ) -> Result<(Bytes, Option<OwnedSemaphorePermit>), HttpError> {
        let mut all = BytesMut::new();
        let mut held: Option<OwnedSemaphorePermit> = None;
        while let Some(bytes) = self.part(body).await? {
            if all.len() + bytes.len() > most {
                return Err(HttpError::BodyTooLarge);
            }
            all.extend_from_slice(&bytes);
            let want = all.len().div_ceil(1024) - held.as_ref().map_or(0, |h| h.num_permits());
            if want > 0 {
                let until = self.arriving.as_ref().map_or_else(Instant::now, |a| a.1);
                let more = room.clone().acquire_many_owned(want as u32);
                let more = tokio::time::timeout_at(until.into(), more).await;
                let more = more.map_err(|_| HttpError::Late)?.map_err(|_| HttpError::Ended)?;
                match &mut held {
                    Some(held) => held.merge(more),
                    None => held = Some(more),
                }
            }
        }
        Ok((all.freeze(), held))
    }

    /// The next bytes of an upload, which may take as long as it gets on: each part puts it last in the line of
    /// those that make room, and one that stalls for too long is over. Cancel safe.
    pub async fn upload(&mut self, body: &mut Body, stall: Duration) -> Result<Option<Bytes>, HttpError> {
        let mut mark = self.shared.budget.idle();
        mark.arrives();
        self.arriving = Some((mark, Instant::now() + stall));
        self.part(body).await
    }

    /// The request is here whole: from now on the connection is not closed before its answer.
    pub fn arrived(&mut self) {
        self.arriving = None;
    }

    /// Writes to a client. Guards against one that stops reading and would hold a server's stream for ever.
    pub async fn write(&mut self, bytes: &[u8]) -> Result<(), HttpError> {
        timeout(STALLED, self.stream.write_all(bytes)).await.map_err(|_| HttpError::Ended)??;
        Ok(())
    }

    /// Tells a client that waits for it to send its body.
    pub async fn go_on(&mut self, head: &Head) -> Result<(), HttpError> {
        if head.get("expect").is_some_and(|v| v.eq_ignore_ascii_case("100-continue")) {
            self.write(b"HTTP/1.1 100 Continue\r\n\r\n").await?;
        }
        Ok(())
    }

    /// Waits until the client has gone. What it writes ahead stays in the buffer, up to a head's size. Cancel safe.
    pub async fn gone(&mut self) {
        while self.buffer.bytes().len() <= http::MAX_HEAD {
            if !matches!(self.buffer.fill(&mut self.stream).await, Ok(n) if n > 0) {
                return;
            }
        }
        // guards against a client that writes far ahead and goes: its end stands behind what nobody reads yet
        loop {
            match self.stream.ready(Interest::READABLE).await {
                Ok(ready) if !ready.is_read_closed() => tokio::time::sleep(LOOK).await,
                _ => return,
            }
        }
    }

    /// Ends a connection whose peer may still be writing: a reset would take the last answer away from it. What
    /// it writes is thrown away for a while, and the connection makes room first where that is needed.
    pub async fn close(mut self) {
        let (mut mark, _) =
            self.arriving.take().unwrap_or_else(|| (self.shared.budget.idle(), Instant::now()));
        if self.stream.shutdown().await.is_err() {
            return;
        }
        let stream = &self.stream;
        let drain = async {
            while stream.readable().await.is_ok() {
                let mut room = [0; 16 << 10];
                match stream.try_read(&mut room) {
                    Ok(n) if n > 0 => {}
                    Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => {}
                    _ => return,
                }
            }
        };
        tokio::select! {
            () = drain => {}
            () = mark.evicted() => {}
            () = tokio::time::sleep(DRAIN) => debug!("a client went on writing after its last answer"),
        }
    }
}
