//! Channels: the clients' side of the platform's protocol. A thin front: heads and bodies become RPCs, answers
//! become streams or refusals. It decides nothing.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::{BufMut, BytesMut};
use serde::de::IgnoredAny;
use tokio::sync::{Semaphore, mpsc};
use tracing::debug;

use super::http::{Body, Framing, Head, HttpError, MAX_BODY, plain};
use super::listener::{Next, Patience, Peer};
use super::subchannel::payload;
use crate::core::{Answer, Facts, Handle, Piece, Rpc};
use crate::traces::{Traces, is_trace};

/// The patience of a client that tells none, where its class tells none either.
const PATIENCE: Duration = Duration::from_secs(10);

/// What a channel's client owes: the platform's clients have their requests ready when they connect.
pub const OWED: Patience = Patience { idle: Duration::from_secs(2), arriving: Duration::from_millis(2500) };
/// The longest patience that is believed; classes' deadlines are far shorter.
const MAX_PATIENCE: Duration = Duration::from_secs(600);
/// What all channels share.
pub struct Front {
    /// The way to the core.
    pub core: Handle,
    /// Room for bodies, in KiB.
    pub bodies: Arc<Semaphore>,
    /// The names of the classes.
    pub classes: Vec<String>,
    /// The deadlines of the classes.
    pub deadlines: Vec<Duration>,
    /// The names of the tenants.
    pub tenants: Vec<String>,
    /// The ids in use.
    pub traces: Traces,
}

/// An answer to a client.
#[derive(Debug, PartialEq)]
struct Reply {
    status: u16,
    reason: &'static str,
    retry_in: Option<Duration>,
    text: &'static str,
}

impl Reply {
    fn new(status: u16, reason: &'static str, text: &'static str) -> Reply {
        Reply { status, reason, retry_in: None, text }
    }
}

struct Channel {
    front: Arc<Front>,
    peer: Peer,
}

/// What a request came to.
enum Done {
    /// The channel can be used again.
    Keep,
    /// It is over, and may have been closed by the client.
    Over,
    /// It was no request: this is its answer, and the channel ends.
    Bad(Reply),
}

/// What passing an answer on came to.
enum Passed {
    /// All of it, and whether the channel can be used again.
    Whole(bool),
    /// It broke off.
    Broken,
    /// Its client went.
    Gone,
}

/// Serves one client's connection to its end.
pub async fn run(front: Arc<Front>, peer: Peer) {
    let mut channel = Channel { front, peer };
    let bad = loop {
        let done = match channel.peer.next().await {
            Next::Request(head, _) => channel.answer(&head).await,
            Next::Bad(e) => Err(e),
            Next::Closed => return,
        };
        match done {
            Ok(Done::Keep) => {}
            Ok(Done::Over) => return,
            Ok(Done::Bad(reply)) => break reply,
            Err(e) => {
                // a peer's bytes could not be taken: say so, and close
                debug!("a client's bytes: {e}");
                let Some((status, reason)) = e.status() else { return };
                break Reply::new(status, reason, reason);
            }
        }
    };
    if channel.reply(&bad, true).await.is_ok() {
        channel.peer.close().await;
    }
}

impl Channel {
    /// Answers one request. All that its head can tell is looked at ahead of its body: guards against bodies that
    /// are read, and held, for requests that can't be served.
    async fn answer(&mut self, head: &Head) -> Result<Done, HttpError> {
        let framing = head.framing(false)?;
        let most = MAX_BODY as u64;
        if matches!(framing, Framing::Length(n) if n > most) {
            return Err(HttpError::BodyTooLarge);
        }
        let close = head.closes();
        let mut body = Body::new(framing);
        let bodies = self.front.bodies.clone();
        if head.path() == "/_health" {
            self.peer.whole(&mut body, MAX_BODY, &bodies).await?;
            self.peer.arrived();
            // the platform's front sends clients from the first 200 on
            let ready = self.front.core.load().ready() && !self.peer.leaving();
            let reply = match ready {
                true => Reply::new(200, "OK", "ready"),
                false => Reply::new(503, "Service Unavailable", "not ready"),
            };
            return self.reply(&reply, close).await;
        }
        if head.method != "POST" {
            return Ok(Done::Bad(Reply::new(404, "Not Found", "no such thing")));
        }
        let (mut facts, id) = match self.facts(head) {
            Ok(read) => read,
            Err(reply) => return Ok(Done::Bad(reply)),
        };
        let Some(_trace) = self.front.traces.take(id) else {
            return Ok(Done::Bad(Reply::new(409, "Conflict", "X-Trace-Id is in use")));
        };
        self.peer.go_on(head).await?;
        let (body, _room) = self.peer.whole(&mut body, MAX_BODY, &bodies).await?;
        // guards against a length that cuts a body short, which a model server would take for a request
        if body.trim_ascii_start().first() != Some(&b'{')
            || serde_json::from_slice::<IgnoredAny>(&body).is_err()
        {
            return Ok(Done::Bad(Reply::new(400, "Bad Request", "the body is no JSON object")));
        }
        self.peer.arrived();
        // a request's time runs from its last byte, however slowly it came
        facts.received = Instant::now();
        let rpc = Rpc { facts, payload: payload(&head.method, &head.target, Some(id), body) };
        let Ok(mut ticket) = self.front.core.submit(rpc).await else { return Ok(Done::Over) };
        let answer = tokio::select! {
            biased;
            answer = ticket.answer() => answer,
            // the ticket's drop tells the module
            () = self.peer.gone() => return Ok(Done::Over),
        };
        match answer {
            Answer::Started(pieces) => match self.pass_on(pieces, close).await? {
                Passed::Whole(kept) => {
                    ticket.finish();
                    Ok(if kept { Done::Keep } else { Done::Over })
                }
                Passed::Broken => {
                    ticket.broken();
                    Ok(Done::Over)
                }
                Passed::Gone => Ok(Done::Over),
            },
            Answer::Refused { retry_in, .. } => {
                ticket.finish();
                let refused = Reply::new(503, "Service Unavailable", "refused; trying again is harmless");
                self.reply(&Reply { retry_in, ..refused }, close).await
            }
            Answer::Failed { .. } => {
                ticket.finish();
                self.reply(&Reply::new(502, "Bad Gateway", "failed"), close).await
            }
        }
    }

    /// What a request's head tells, and its id.
    fn facts<'a>(&self, head: &'a Head) -> Result<(Facts, &'a str), Reply> {
        let bad = |text| Reply::new(400, "Bad Request", text);
        let place = |names: &[String], name: &str| names.iter().position(|n| n == name);
        let class = head.get("x-qos").and_then(|name| place(&self.front.classes, name));
        let class = class.ok_or(bad("X-Qos names no class"))?;
        let tenant = match head.get("x-customer") {
            Some(name) => place(&self.front.tenants, name).ok_or(bad("X-Customer names no tenant"))?,
            None => 0,
        };
        let patience = match head.get("x-expires-in-ms") {
            Some(ms) => Duration::from_millis(digits(ms).ok_or(bad("X-Expires-In-Ms"))?.into()),
            None => self.front.deadlines.get(class).copied().unwrap_or(PATIENCE),
        };
        let id = head.get("x-trace-id").unwrap_or_default();
        if !is_trace(id) || !plain(&head.target) {
            return Err(bad("X-Trace-Id"));
        }
        let again = head.get("x-second-try");
        let mut facts = Facts {
            class: class as u32,
            tenant: tenant as u32,
            session: head.get("x-object").map(key),
            prefix: None,
            prompt: 0,
            shared: 0,
            cap: 0,
            hint: Duration::ZERO,
            received: Instant::now(),
            patience: patience.min(MAX_PATIENCE),
            repeat: again == Some("1"),
            resumed: again == Some("again"),
            live: true,
            model: 0,
            spent: 0,
        };
        for part in head.get("x-props").unwrap_or_default().split(',') {
            let Some((name, value)) = part.split_once('=') else { continue };
            let (name, value) = (name.trim(), value.trim());
            let number = || digits(value).ok_or(bad("X-Props"));
            match name {
                "prefix" => facts.prefix = Some(key(value)).filter(|&p| p != 0),
                "prompt_len" => facts.prompt = number()?,
                "prefix_len" => facts.shared = number()?,
                "max_out" => facts.cap = number()?,
                _ => {}
            }
        }
        Ok((facts, id))
    }

    /// Passes an answer's pieces on as they come. Where it breaks the connection ends without the last chunk.
    async fn pass_on(&mut self, mut pieces: mpsc::Receiver<Piece>, close: bool) -> Result<Passed, HttpError> {
        let close = close || self.peer.leaving();
        let mut out = BytesMut::new();
        out.put_slice(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n",
        );
        out.put_slice(if close { b"Connection: close\r\n\r\n" } else { b"\r\n" });
        loop {
            let piece = tokio::select! {
                biased;
                piece = pieces.recv() => piece.unwrap_or(Piece::Broken),
                () = self.peer.gone() => return Ok(Passed::Gone),
            };
            // what else has come by now goes out with it, in one write
            let mut next = Some(piece);
            let mut end = None;
            while let Some(piece) = next {
                match piece {
                    Piece::Data(bytes) => {
                        out.put_slice(format!("{:x}\r\n", bytes.len()).as_bytes());
                        out.put_slice(&bytes);
                        out.put_slice(b"\r\n");
                    }
                    Piece::Done => {
                        out.put_slice(b"0\r\n\r\n");
                        end = Some(Passed::Whole(!close));
                    }
                    Piece::Broken => end = Some(Passed::Broken),
                }
                next = if end.is_some() { None } else { pieces.try_recv().ok() };
            }
            self.peer.write(&out).await?;
            out.clear();
            if let Some(end) = end {
                return Ok(end);
            }
        }
    }

    async fn reply(&mut self, reply: &Reply, close: bool) -> Result<Done, HttpError> {
        let close = close || self.peer.leaving();
        let Reply { status, reason, retry_in, text } = reply;
        let mut head = format!("HTTP/1.1 {status} {reason}\r\nContent-Type: text/plain\r\n");
        if let Some(wait) = retry_in {
            head.push_str(&format!("Retry-After: {:.3}\r\n", wait.as_secs_f64()));
        }
        if close {
            head.push_str("Connection: close\r\n");
        }
        head.push_str(&format!("Content-Length: {}\r\n\r\n{text}", text.len()));
        self.peer.write(head.as_bytes()).await?;
        Ok(if close { Done::Over } else { Done::Keep })
    }
}

/// A whole number in digits alone.
fn digits(text: &str) -> Option<u32> {
    text.bytes().all(|b| b.is_ascii_digit()).then(|| text.parse().ok()).flatten()
}

/// A key of 16 hex digits; any other text is folded into one.
fn key(text: &str) -> u64 {
    let hex = (1..=16).contains(&text.len()).then(|| u64::from_str_radix(text, 16).ok()).flatten();
    hex.unwrap_or_else(|| crate::wire::replica_id(text).0)
}
