//! Clients that ask on kept connections, write in pieces or several requests at once, rest until
//! they are closed, and leave. Each request that they write whole is recorded.

use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Arc;
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::client_action::Move;
use super::http::{Connection, Message, Progress};
use super::record::{Delivery, DeliveryEnd};
use super::seed_run::Recorder;

/// A client waits for so long beyond its patience before it calls its request silent: longer than
/// any stop of a process.
const BEYOND: Duration = Duration::from_millis(2500);
/// For so long a closed connection is watched for the reset that tells of unread bytes.
const WATCH: Duration = Duration::from_secs(7);
/// A request whose connection closed unread is sent so many times in all.
const DELIVERIES: usize = 4;

/// One client and its router.
pub struct Client {
    pub router: usize,
    pub number: usize,
    pub address: SocketAddr,
    pub recorder: Arc<Recorder>,
    pub until: Instant,
}

/// A connection that the router has closed, and whether a read has told of a reset already.
struct Close {
    connection: Connection,
    reset: bool,
}

/// A request as it is written.
struct Request {
    id: String,
    patience: Duration,
    text: Vec<u8>,
}

impl Client {
    /// Asks until its time is over.
    pub fn run(self, seed: u64) {
        let mut rng = StdRng::seed_from_u64(seed);
        let (mut kept, mut next) = (None, 0);
        while Instant::now() < self.until {
            sleep(Duration::from_millis(rng.random_range(0..60)));
            let Some(mut connection) = kept.take().or_else(|| self.connect()) else {
                continue;
            };
            let step = Move::draw(&mut rng);
            let count = if let Move::Pipeline(count) = step {
                count
            } else {
                1
            };
            let large = if let Move::Large(kib) = step {
                kib << 10
            } else {
                0
            };
            let requests: Vec<Request> = (0..count)
                .map(|_| self.request(&mut rng, &mut next, large))
                .collect();
            if let Move::RestAndAsk(rest) = step {
                sleep(rest);
            }
            if !write(&mut connection, &requests, step) {
                continue;
            }
            let sent = Instant::now();
            match step {
                Move::Half => {}
                Move::Leave(wait) | Move::HalfClose(wait) => {
                    sleep(wait);
                    if matches!(step, Move::HalfClose(_)) {
                        let _ = connection.stream.shutdown(Shutdown::Write);
                        sleep(Duration::from_millis(100));
                    }
                    drop(connection);
                    self.record(
                        &requests[0],
                        (sent, sent),
                        Instant::now(),
                        DeliveryEnd::Left,
                    );
                }
                _ => kept = self.answers(connection, requests, sent, 1),
            }
        }
    }

    fn connect(&self) -> Option<Connection> {
        let stream = TcpStream::connect_timeout(&self.address, Duration::from_millis(500)).ok()?;
        Some(Connection::new(stream))
    }

    fn request(&self, rng: &mut StdRng, next: &mut usize, large: usize) -> Request {
        *next += 1;
        let id = format!("{:02x}{:04x}{next:010x}", self.router, self.number);
        let patience = Duration::from_millis(rng.random_range(300..1400));
        let body = format!(
            "{{\"stream\":true,\"messages\":[],\"pad\":\"{}\"}}",
            "x".repeat(large)
        );
        let text = format!(
            "POST /v1/chat/completions HTTP/1.1\r\nX-Trace-Id: {id}\r\nX-Qos: hint\r\nX-Expires-In-Ms: {}\r\n\
             X-Props: prompt_len=12,max_out=10\r\nContent-Length: {}\r\n\r\n{body}",
            patience.as_millis(),
            body.len()
        );
        Request {
            id,
            patience,
            text: text.into_bytes(),
        }
    }

    /// Records a request, written at one instant, whose turn to be answered came at another.
    fn record(
        &self,
        request: &Request,
        (sent, turn): (Instant, Instant),
        began: Instant,
        end: DeliveryEnd,
    ) {
        let at = |instant| self.recorder.at(instant);
        let (id, patience) = (request.id.clone(), request.patience);
        let (sent, turn, began, ended) = (at(sent), at(turn), at(began), at(Instant::now()));
        self.recorder.deliver(Delivery {
            id,
            router: self.router,
            sent,
            turn,
            patience,
            began,
            ended,
            end,
        });
    }

    /// Waits for the answers to requests that were written; the connection, where it can be used
    /// again.
    fn answers(
        &self,
        mut connection: Connection,
        requests: Vec<Request>,
        sent: Instant,
        deliveries: usize,
    ) -> Option<Connection> {
        let mut requests = requests.into_iter();
        while let Some(request) = requests.next() {
            // requests on one connection are served one after the other
            let turn = Instant::now();
            let until = turn + request.patience + BEYOND;
            match connection.message(until) {
                Ok(message) => {
                    let end = end_of(&message);
                    self.record(&request, (sent, turn), message.began, end);
                    if message.head.get("connection") == Some("close") || !message.whole {
                        let close = Close {
                            connection,
                            reset: false,
                        };
                        self.unanswered(close, requests.collect(), sent, deliveries);
                        return None;
                    }
                }
                Err(Progress::Silent | Progress::More) => {
                    self.record(&request, (sent, turn), Instant::now(), DeliveryEnd::Silent);
                    return None;
                }
                Err(progress @ (Progress::Closed | Progress::Reset)) => {
                    let rest = std::iter::once(request).chain(requests).collect();
                    let close = Close {
                        connection,
                        reset: progress == Progress::Reset,
                    };
                    self.unanswered(close, rest, sent, deliveries);
                    return None;
                }
            }
        }
        if connection.has_unused() {
            None
        } else {
            Some(connection)
        }
    }

    /// Requests whose connection has closed: whether they were read shows in how it ends. They are
    /// sent once more.
    fn unanswered(&self, close: Close, requests: Vec<Request>, sent: Instant, deliveries: usize) {
        let ended = Instant::now();
        if requests.is_empty() {
            return;
        }
        let (recorder, router) = (self.recorder.clone(), self.router);
        let whose: Vec<_> = requests
            .iter()
            .map(|request| (request.id.clone(), request.patience))
            .collect();
        let watch = spawn(move || {
            let unread = close.reset || is_reset(&close.connection.stream);
            let end = if unread {
                DeliveryEnd::ClosedUnread
            } else {
                DeliveryEnd::ReadAndClosed
            };
            for (id, patience) in whose {
                let (sent, ended) = (recorder.at(sent), recorder.at(ended));
                let end = end.clone();
                recorder.deliver(Delivery {
                    id,
                    router,
                    sent,
                    turn: sent,
                    patience,
                    began: ended,
                    ended,
                    end,
                });
            }
        });
        self.recorder.watch(watch);
        for request in requests {
            let Some(mut connection) = self.connect().filter(|_| deliveries < DELIVERIES) else {
                continue;
            };
            let again = [request];
            if write(&mut connection, &again, Move::Ask) {
                self.answers(connection, again.into(), Instant::now(), deliveries + 1);
            }
        }
    }
}

/// Writes requests; whether all of it was taken.
fn write(connection: &mut Connection, requests: &[Request], step: Move) -> bool {
    let all: Vec<u8> = requests
        .iter()
        .flat_map(|request| request.text.clone())
        .collect();
    match step {
        Move::Pieces(wait) => all.chunks(all.len() / 4 + 1).all(|piece| {
            sleep(wait);
            connection.stream.write_all(piece).is_ok()
        }),
        Move::Half => connection.stream.write_all(&all[..all.len() / 2]).is_ok(),
        _ => connection.stream.write_all(&all).is_ok(),
    }
}

/// How a delivery ended that got this message.
fn end_of(message: &Message) -> DeliveryEnd {
    let text = String::from_utf8_lossy(&message.body);
    let mut made_for = text
        .split("\"made_for\":\"")
        .skip(1)
        .filter_map(|rest| rest.split('"').next());
    let first = made_for.next().map(String::from);
    let same = made_for.all(|other| Some(other) == first.as_deref());
    match message.head.status() {
        Some(200) if !same => DeliveryEnd::Garbled,
        Some(200) if !message.whole => DeliveryEnd::Cut { made_for: first },
        Some(200) if text.ends_with("data: [DONE]\n\n") => {
            DeliveryEnd::Answered { made_for: first }
        }
        Some(200) | None => DeliveryEnd::Garbled,
        Some(status) => DeliveryEnd::Declined(status),
    }
}

/// Whether a connection that the other side has shut down is reset: it was closed over bytes that
/// had not been read.
fn is_reset(stream: &TcpStream) -> bool {
    let until = Instant::now() + WATCH;
    while Instant::now() < until {
        if !matches!(stream.take_error(), Ok(None)) {
            return true;
        }
        sleep(Duration::from_millis(10));
    }
    false
}
