//! Subchannels: the model servers' side. An actor with a mailbox for each server, a pool of its connections,
//! call attempts and probes. Every send is a call attempt that the module ordered; nothing is sent again here.

use std::collections::VecDeque;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinHandle;
use tokio::time::timeout;
use tracing::{debug, trace};

use super::budget::{Budget, IdleMark, Permit};
use super::http::{self, Body, Buffer, Framing, Head, HttpError};
use crate::core::{Attempt, AttemptId, Connector, Ending, Host, Mail, Order, PIECES, Payload, Piece};
use crate::interface::{Outcome, ReplicaId, Report};
use crate::ops::figures::Figures;

/// A probe's time-out.
const PROBE: Duration = Duration::from_millis(400);
/// A stream that brings nothing for so long is broken: its server has gone without a word.
const SILENCE: Duration = Duration::from_secs(4);
/// The body of an answer that is no stream is read for reuse of the connection for so long at most.
const REST: Duration = Duration::from_millis(100);
/// Such a body holds so much at most.
const MAX_REST: usize = 16 << 10;
/// Part of the idle time allowed after which a connection is not used again: the server may be closing it.
const IDLE_PART: f64 = 0.8;
/// Orders that wait for a subchannel's actor at the most.
const MAILBOX: usize = 1024;
/// The end of a stream that is searched for what was found kept.
const TAIL: usize = 1024;

/// What all subchannels share.
#[derive(Clone, Debug)]
pub struct Options {
    /// A connection not up by then has failed.
    pub connect_timeout: Duration,
    /// A server closes connections that were idle for so long.
    pub conn_idle: Duration,
    /// The names of a load report's values as servers write them, in the settings' order.
    pub report: Vec<String>,
}

/// Makes subchannels over TCP.
pub struct Tcp {
    /// What they share.
    pub options: Options,
    /// The budget of sockets.
    pub budget: Budget,
    /// Counts call attempts that were written.
    pub figures: Arc<Figures>,
    /// The module's mailbox, once there is one.
    pub mail: Arc<std::sync::OnceLock<mpsc::Sender<Mail>>>,
}

impl Connector for Tcp {
    fn open(&self, replica: ReplicaId, host: &Host) -> mpsc::Sender<Order> {
        let (orders_to, orders) = mpsc::channel(MAILBOX);
        if let Some(mail) = self.mail.get() {
            let subchannel = Subchannel {
                replica,
                address: host.address.clone(),
                options: self.options.clone(),
                budget: self.budget.clone(),
                figures: self.figures.clone(),
                mail: mail.clone(),
                pool: Mutex::default(),
            };
            debug!("subchannel {} ({:x}) at {}", host.name, replica.0, host.address);
            tokio::spawn(Arc::new(subchannel).run(orders));
        }
        orders_to
    }
}

/// What a front submits to have sent: method, target, id and body pass on unchanged.
pub fn payload(method: &str, target: &str, trace_id: Option<&str>, body: Bytes) -> Payload {
    let mut preamble = format!("{method} {target} HTTP/1.1\r\n");
    if let Some(id) = trace_id {
        preamble.push_str(&format!("X-Trace-Id: {id}\r\n"));
    }
    preamble.push_str(&format!("Content-Type: application/json\r\nContent-Length: {}\r\n", body.len()));
    Payload { preamble: preamble.into(), body }
}

/// A connection to a server.
struct Connection {
    stream: TcpStream,
    buffer: Buffer,
    _permit: Permit,
}

/// An idle connection, watched by a task of its own until it is wanted.
struct Idle {
    wanted: oneshot::Sender<()>,
    watch: JoinHandle<Option<Connection>>,
}

struct Subchannel {
    replica: ReplicaId,
    address: String,
    options: Options,
    budget: Budget,
    figures: Arc<Figures>,
    mail: mpsc::Sender<Mail>,
    pool: Mutex<Pool>,
}

/// Idle connections, the latest used last.
#[derive(Default)]
struct Pool {
    idle: VecDeque<Idle>,
    closed: bool,
}

impl Subchannel {
    async fn run(self: Arc<Self>, mut orders: mpsc::Receiver<Order>) {
        while let Some(order) = orders.recv().await {
            match order {
                Order::Attempt(attempt) => tokio::spawn(self.clone().attempt(attempt)),
                Order::Probe => tokio::spawn(self.clone().probe()),
            };
        }
        // the host is gone from the list: call attempts under way go on, idle connections don't
        let mut pool = self.pool();
        pool.closed = true;
        pool.idle.clear();
    }

    fn pool(&self) -> MutexGuard<'_, Pool> {
        self.pool.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Makes a call attempt, and tells the module how it ended.
    async fn attempt(self: Arc<Self>, attempt: Attempt) {
        let Attempt { id, payload, deadline, begun, called_off } = attempt;
        let ending = tokio::select! {
            biased;
            // the module has the outcome already; dropping the other branch closes the connection
            _ = called_off => return trace!("attempt {id:?} called off"),
            ending = self.call(id, payload, deadline, &begun) => ending,
        };
        if let Some((ending, end)) = ending {
            let _ = self.mail.send(Mail::Ended(id, Instant::now(), ending)).await;
            if let Some((pieces, last)) = end {
                let _ = pieces.send(last).await;
            }
        }
    }

    async fn call(
        &self,
        id: AttemptId,
        payload: Payload,
        deadline: Instant,
        begun: &AtomicBool,
    ) -> Option<(Ending, Option<(mpsc::Sender<Piece>, Piece)>)> {
        let over = |outcome: Outcome| Some((Ending::from(outcome), None));
        let Some(mut connection) = self.connect().await else { return over(Outcome::ConnectFailed) };
        let left = deadline.saturating_duration_since(Instant::now()).as_millis().max(1);
        let mut message = BytesMut::with_capacity(payload.preamble.len() + payload.body.len() + 96);
        message.extend_from_slice(&payload.preamble);
        let rest = format!("Host: {}\r\nX-Expires-In-Ms: {left}\r\n\r\n", self.address);
        message.extend_from_slice(rest.as_bytes());
        message.extend_from_slice(&payload.body);
        begun.store(true, Ordering::Relaxed);
        if let Err(e) = connection.stream.write_all(&message).await {
            debug!("{}: broke within a request: {e}", self.address);
            return over(Outcome::ConnectFailed);
        }
        self.figures.sent();
        drop((message, payload));
        let head = match http::read_answer_head(&mut connection.buffer, &mut connection.stream).await {
            Ok(head) => head,
            Err(e) => {
                debug!("{}: no answer: {e}", self.address);
                return over(Outcome::Reset);
            }
        };
        let Ok(framing) = head.framing(true) else { return over(Outcome::Reset) };
        if head.status == 200 {
            return self.stream(id, connection, &head, framing).await;
        }
        self.read_rest(connection, &head, framing).await;
        let never_ran = head.get("x-never-ran") == Some("1") && matches!(head.status, 503 | 504);
        over(if never_ran { Outcome::Full } else { Outcome::Error })
    }

    /// Passes a stream on, piece by piece.
    async fn stream(
        &self,
        id: AttemptId,
        mut connection: Connection,
        head: &Head,
        framing: Framing,
    ) -> Option<(Ending, Option<(mpsc::Sender<Piece>, Piece)>)> {
        if framing == Framing::ToEnd {
            debug!("{}: a stream without framing", self.address);
            return Some((Outcome::Reset.into(), None));
        }
        let mut body = Body::stream(framing);
        let mut tail = BytesMut::new();
        let mut started: Option<mpsc::Sender<Piece>> = None;
        let whole = loop {
            let Connection { stream, buffer, .. } = &mut connection;
            let bytes = match next_piece(&mut body, buffer, stream, started.is_some()).await {
                Ok(Some(bytes)) => bytes,
                Ok(None) => break true,
                Err(e) => {
                    debug!("{}: stream broke: {e}", self.address);
                    break false;
                }
            };
            tail.extend_from_slice(&bytes);
            if tail.len() > 2 * TAIL {
                tail = BytesMut::from(&tail[tail.len() - TAIL..]);
            }
            let pieces = match &started {
                Some(pieces) => pieces,
                None => {
                    let (to, pieces) = mpsc::channel(PIECES);
                    self.mail.send(Mail::First(id, Instant::now(), pieces)).await.ok()?;
                    started.insert(to)
                }
            };
            // a full channel holds up this connection alone; a closed one means that nobody wants the rest
            if pieces.send(Piece::Data(bytes)).await.is_err() {
                return Some((Outcome::Cancelled.into(), None));
            }
        };
        // an answer without an event has served nobody
        let Some(pieces) = started else { return Some((Outcome::Reset.into(), None)) };
        if !whole {
            return Some((Outcome::Reset.into(), Some((pieces, Piece::Broken))));
        }
        self.keep(connection, head);
        let ending = Ending { outcome: Outcome::Ok, kept: kept(&tail), report: None };
        Some((ending, Some((pieces, Piece::Done))))
    }

    /// Reads what is left of an answer, so that the connection can be used again.
    async fn read_rest(&self, mut connection: Connection, head: &Head, framing: Framing) -> Option<Bytes> {
        let mut body = Body::new(framing);
        let Connection { stream, buffer, .. } = &mut connection;
        let rest = timeout(REST, body.whole(buffer, stream, MAX_REST)).await.ok()?.ok()?;
        if framing != Framing::ToEnd {
            self.keep(connection, head);
        }
        Some(rest)
    }

    /// A connection of the pool, or a new one.
    async fn connect(&self) -> Option<Connection> {
        loop {
            let Some(idle) = self.pool().idle.pop_back() else { break };
            let _ = idle.wanted.send(());
            if let Ok(Some(connection)) = idle.watch.await {
                return Some(connection);
            }
        }
        let dial = async {
            let permit = self.budget.take().await?;
            let stream = match TcpStream::connect(self.address.as_str()).await {
                Ok(stream) => stream,
                Err(e) => {
                    debug!("{}: can't connect: {e}", self.address);
                    return None;
                }
            };
            let _ = stream.set_nodelay(true);
            Some(Connection { stream, buffer: Buffer::default(), _permit: permit })
        };
        timeout(self.options.connect_timeout, dial).await.ok().flatten()
    }

    /// Puts a connection back whose answer was read whole.
    fn keep(&self, connection: Connection, head: &Head) {
        // guards against a second answer's bytes being taken for the next one's
        if head.closes() || !connection.buffer.is_empty() {
            return;
        }
        let until = Instant::now() + self.options.conn_idle.mul_f64(IDLE_PART);
        let (wanted, called) = oneshot::channel();
        let mut pool = self.pool();
        if pool.closed {
            return;
        }
        pool.idle.retain(|idle| !idle.watch.is_finished());
        let watch = tokio::spawn(rest(connection, until, called, self.budget.idle()));
        pool.idle.push_back(Idle { wanted, watch });
    }

    async fn probe(self: Arc<Self>) {
        let start = Instant::now();
        let (outcome, report) = timeout(PROBE, self.ask_load()).await.unwrap_or((Outcome::Timeout, None));
        let _ = self.mail.send(Mail::Probed(self.replica, outcome, start.elapsed(), report)).await;
    }

    async fn ask_load(&self) -> (Outcome, Option<Report>) {
        let Some(mut connection) = self.connect().await else { return (Outcome::ConnectFailed, None) };
        let path = if self.options.report.is_empty() { "/ping" } else { "/_load" };
        let message = format!("GET {path} HTTP/1.1\r\nHost: {}\r\n\r\n", self.address);
        if connection.stream.write_all(message.as_bytes()).await.is_err() {
            return (Outcome::ConnectFailed, None);
        }
        let head = http::read_answer_head(&mut connection.buffer, &mut connection.stream).await;
        let framed = head.and_then(|head| head.framing(true).map(|framing| (head, framing)));
        let Ok((head, framing)) = framed else { return (Outcome::Reset, None) };
        let body = self.read_rest(connection, &head, framing).await;
        let text = body.as_deref().and_then(|b| std::str::from_utf8(b).ok());
        trace!("{}: load report {text:?}", self.address);
        let report = text.and_then(|t| load_report(t, &self.options.report));
        (if head.status == 200 { Outcome::Ok } else { Outcome::Error }, report)
    }
}

/// Watches an idle connection. It comes back only if nothing happened on it, before it nears its idle time.
async fn rest(
    connection: Connection,
    until: Instant,
    wanted: oneshot::Receiver<()>,
    mut mark: IdleMark,
) -> Option<Connection> {
    let quiet = |connection: &Connection| {
        let mut byte = [0];
        matches!(connection.stream.try_read(&mut byte), Err(e) if e.kind() == std::io::ErrorKind::WouldBlock)
    };
    tokio::pin!(wanted);
    loop {
        tokio::select! {
            biased;
            wanted = &mut wanted => return wanted.ok().filter(|()| quiet(&connection)).map(|()| connection),
            () = mark.evicted() => return None,
            () = tokio::time::sleep_until(until.into()) => return None,
            _ = connection.stream.readable() => if !quiet(&connection) {
                // guards against a request written to a connection that the server has closed
                return None;
            },
        }
    }
}

/// A stream's next piece; none at its proper end. Guards against a spoilt stream on a connection that stays open:
/// what has begun must be whole soon, the first piece comes with the head, and none is awaited for ever.
async fn next_piece(
    body: &mut Body,
    buffer: &mut Buffer,
    stream: &mut TcpStream,
    started: bool,
) -> Result<Option<Bytes>, HttpError> {
    let silent = Instant::now() + if started { SILENCE } else { http::PART };
    let mut midway = None;
    loop {
        if let Some(bytes) = body.take(buffer)? {
            return Ok(Some(bytes));
        }
        if body.done() {
            return Ok(None);
        }
        if body.midway(buffer) {
            midway = midway.or(Some(Instant::now() + http::PART));
        }
        let until = midway.unwrap_or(silent).min(silent);
        let read = tokio::time::timeout_at(until.into(), buffer.fill(stream)).await;
        if read.map_err(|_| HttpError::Late)?? == 0 {
            return Err(HttpError::Ended);
        }
    }
}

/// How much of the prompt was found kept, from a stream's last events.
fn kept(tail: &[u8]) -> Option<u32> {
    let text = String::from_utf8_lossy(tail);
    let lines = text.rsplit('\n').filter_map(|l| l.trim_end().strip_prefix("data:"));
    lines.filter(|l| l.contains("cached_tokens")).find_map(|line| {
        let event: serde_json::Value = serde_json::from_str(line.trim()).ok()?;
        let tokens = event.pointer("/usage/prompt_tokens_details/cached_tokens")?.as_u64()?;
        u32::try_from(tokens).ok()
    })
}

/// A load report's value by its shorter name, which some servers use.
fn short(setting: &str) -> &str {
    match setting {
        "outstanding" => "inflight",
        "backlog" => "queue",
        "utilization" => "util",
        "recent_ms" => "latency_ms",
        "throughput" => "qps",
        "errors_per_s" => "eps",
        other => other,
    }
}

/// A load report in the text form, its values in the order of the settings.
fn load_report(text: &str, names: &[String]) -> Option<Report> {
    let text = text.trim();
    let text = text.split_once("Endpoint-Load-Metrics:").map_or(text, |(_, report)| report.trim());
    let fields = text.strip_prefix("TEXT")?;
    let mut report: Report = [f32::NAN; 4];
    for field in fields.split(',') {
        let Some((name, value)) = field.split_once('=') else { continue };
        let name = name.trim();
        let place = names.iter().position(|n| n == name || short(n) == name).filter(|&k| k < report.len());
        if let (Some(k), Ok(value)) = (place, value.trim().parse::<f32>()) {
            report[k] = value;
        }
    }
    Some(report)
}

/// Reads one answer whole, on a connection of its own use. For peers that are no model servers.
pub async fn read_whole(
    buffer: &mut Buffer,
    stream: &mut TcpStream,
    most: usize,
) -> Result<(Head, Bytes), HttpError> {
    let head = http::read_answer_head(buffer, stream).await?;
    let mut body = Body::new(head.framing(true)?);
    let bytes = body.whole(buffer, stream, most).await?;
    Ok((head, bytes))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_kept_tokens_stand_in_the_last_events() {
        let tail = b"data: {\"choices\":[{\"delta\":{\"content\":\"cached_tokens\"}}]}\n\n\
            data: {\"choices\":[],\"usage\":{\"prompt_tokens_details\":{\"cached_tokens\":4096}}}\n\ndata: [DONE]\n\n";
        assert_eq!(kept(tail), Some(4096));
        assert_eq!(kept(b"data: [DONE]\n\n"), None);
    }

    #[test]
    fn a_load_report_is_put_in_the_settings_order() {
        let names = ["utilization", "errors_per_s"].map(String::from);
        // as the settings name them, and by the shorter names
        for text in ["TEXT errors_per_s=3, utilization=0.5, other=1", "TEXT eps=3, util=0.5, other=1"] {
            let report = load_report(text, &names).unwrap();
            assert_eq!(report[..2], [0.5, 3.0]);
            assert!(report[2].is_nan());
        }
    }
}
