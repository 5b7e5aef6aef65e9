//! How the requests of a client end: answered, or closed and delivered once more.

use std::net::TcpStream;
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use super::client_action::ClientAction;
use super::clients::{Client, Request, write};
use super::http::{Connection, Message, Progress};
use super::record::{Delivery, DeliveryEnd};

/// A client waits for so long beyond its timeout before its request counts as timed out: longer
/// than any stop of a process.
const TIMEOUT_MARGIN: Duration = Duration::from_millis(2500);
/// How long a closed connection is watched for the reset that unread bytes cause.
const RESET_WATCH: Duration = Duration::from_secs(7);
/// How often a request is delivered in all while its connections close unread.
const MAX_DELIVERIES: usize = 4;

/// A connection that the router has closed, and whether a read has found it reset already.
struct ClosedConnection {
    connection: Connection,
    reset: bool,
}

impl Client {
    /// Waits for the answers to requests that were written; the connection, where it can be used
    /// again.
    pub fn read_answers(
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
            let until = turn + request.timeout + TIMEOUT_MARGIN;
            match connection.message(until) {
                Ok(message) => {
                    let end = end_of(&message);
                    self.record(&request, (sent, turn), message.began, end);
                    if message.head.get("connection") == Some("close") || !message.complete {
                        let close = ClosedConnection {
                            connection,
                            reset: false,
                        };
                        self.redeliver(close, requests.collect(), sent, deliveries);
                        return None;
                    }
                }
                Err(Progress::TimedOut | Progress::More) => {
                    self.record(
                        &request,
                        (sent, turn),
                        Instant::now(),
                        DeliveryEnd::TimedOut,
                    );
                    return None;
                }
                Err(progress @ (Progress::Closed | Progress::Reset)) => {
                    let remaining = std::iter::once(request).chain(requests).collect();
                    let close = ClosedConnection {
                        connection,
                        reset: progress == Progress::Reset,
                    };
                    self.redeliver(close, remaining, sent, deliveries);
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

    /// Requests whose connection has closed: a reset shows that they were not read. They are
    /// delivered once more.
    fn redeliver(
        &self,
        close: ClosedConnection,
        requests: Vec<Request>,
        sent: Instant,
        deliveries: usize,
    ) {
        let ended = Instant::now();
        if requests.is_empty() {
            return;
        }
        let (recorder, router) = (self.recorder.clone(), self.router);
        let unanswered: Vec<_> = requests
            .iter()
            .map(|request| (request.id.clone(), request.timeout))
            .collect();
        let watch = spawn(move || {
            let unread = close.reset || is_reset(&close.connection.stream);
            let end = if unread {
                DeliveryEnd::ClosedUnread
            } else {
                DeliveryEnd::ReadAndClosed
            };
            for (id, timeout) in unanswered {
                let (sent, ended) = (recorder.at(sent), recorder.at(ended));
                let end = end.clone();
                recorder.deliver(Delivery {
                    id,
                    router,
                    sent,
                    turn: sent,
                    timeout,
                    began: ended,
                    ended,
                    end,
                });
            }
        });
        self.recorder.watch(watch);
        for request in requests {
            let Some(mut connection) = self.connect().filter(|_| deliveries < MAX_DELIVERIES)
            else {
                continue;
            };
            let again = [request];
            if write(&mut connection, &again, ClientAction::Request) {
                self.read_answers(connection, again.into(), Instant::now(), deliveries + 1);
            }
        }
    }
}

/// How a delivery ended whose answer is this message.
fn end_of(message: &Message) -> DeliveryEnd {
    let text = String::from_utf8_lossy(&message.body);
    let mut made_for = text
        .split("\"made_for\":\"")
        .skip(1)
        .filter_map(|rest| rest.split('"').next());
    let first = made_for.next().map(String::from);
    let same = made_for.all(|other| Some(other) == first.as_deref());
    match message.head.status() {
        Some(200) if !same => DeliveryEnd::Malformed,
        Some(200) if !message.complete => DeliveryEnd::Truncated { made_for: first },
        Some(200) if text.ends_with("data: [DONE]\n\n") => {
            DeliveryEnd::Answered { made_for: first }
        }
        Some(200) | None => DeliveryEnd::Malformed,
        Some(status) => DeliveryEnd::ErrorStatus(status),
    }
}

/// Whether a connection that the other side has shut down is reset: it was closed over bytes that
/// had not been read.
fn is_reset(stream: &TcpStream) -> bool {
    let until = Instant::now() + RESET_WATCH;
    while Instant::now() < until {
        if !matches!(stream.take_error(), Ok(None)) {
            return true;
        }
        sleep(Duration::from_millis(10));
    }
    false
}
