//! Clients that reuse connections, write in pieces or several requests at once, stay idle until
//! they are closed, and disconnect. Each request that they write completely is recorded.

use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::client_action::ClientAction;
use super::http::Connection;
use super::record::{Delivery, DeliveryEnd};
use super::recorder::Recorder;

/// One client and its router.
pub struct Client {
    pub router: usize,
    pub number: usize,
    pub address: SocketAddr,
    pub recorder: Arc<Recorder>,
    pub until: Instant,
}

/// A request as it is written.
pub struct Request {
    pub id: String,
    pub timeout: Duration,
    text: Vec<u8>,
}

impl Client {
    /// Sends requests until its time is over.
    pub fn run(self, seed: u64) {
        let mut rng = StdRng::seed_from_u64(seed);
        let (mut reusable, mut next) = (None, 0);
        while Instant::now() < self.until {
            sleep(Duration::from_millis(rng.random_range(0..60)));
            let Some(mut connection) = reusable.take().or_else(|| self.connect()) else {
                continue;
            };
            let action = ClientAction::draw(&mut rng);
            let count = if let ClientAction::Pipeline(count) = action {
                count
            } else {
                1
            };
            let large = if let ClientAction::LargeRequest(kib) = action {
                kib << 10
            } else {
                0
            };
            let requests: Vec<Request> = (0..count)
                .map(|_| self.request(&mut rng, &mut next, large))
                .collect();
            if let ClientAction::RequestAfterIdle(idle) = action {
                sleep(idle);
            }
            if !write(&mut connection, &requests, action) {
                continue;
            }
            let sent = Instant::now();
            match action {
                ClientAction::HalfRequest => {}
                ClientAction::Disconnect(wait) | ClientAction::HalfClose(wait) => {
                    sleep(wait);
                    if matches!(action, ClientAction::HalfClose(_)) {
                        let _ = connection.stream.shutdown(Shutdown::Write);
                        sleep(Duration::from_millis(100));
                    }
                    drop(connection);
                    self.record(
                        &requests[0],
                        (sent, sent),
                        Instant::now(),
                        DeliveryEnd::Disconnected,
                    );
                }
                _ => reusable = self.read_answers(connection, requests, sent, 1),
            }
        }
    }

    pub fn connect(&self) -> Option<Connection> {
        let stream = TcpStream::connect_timeout(&self.address, Duration::from_millis(500)).ok()?;
        Some(Connection::new(stream))
    }

    fn request(&self, rng: &mut StdRng, next: &mut usize, large: usize) -> Request {
        *next += 1;
        let id = format!("{:02x}{:04x}{next:010x}", self.router, self.number);
        let timeout = Duration::from_millis(rng.random_range(300..1400));
        let body = format!(
            "{{\"stream\":true,\"messages\":[],\"pad\":\"{}\"}}",
            "x".repeat(large)
        );
        let text = format!(
            "POST /v1/chat/completions HTTP/1.1\r\nX-Trace-Id: {id}\r\nX-Qos: hint\r\nX-Expires-In-Ms: {}\r\n\
             X-Props: prompt_len=12,max_out=10\r\nContent-Length: {}\r\n\r\n{body}",
            timeout.as_millis(),
            body.len()
        );
        Request {
            id,
            timeout,
            text: text.into_bytes(),
        }
    }

    /// Records a request, written at one instant, whose turn to be answered was at another.
    pub fn record(
        &self,
        request: &Request,
        (sent, turn): (Instant, Instant),
        began: Instant,
        end: DeliveryEnd,
    ) {
        let at = |instant| self.recorder.at(instant);
        let (id, timeout) = (request.id.clone(), request.timeout);
        let (sent, turn, began, ended) = (at(sent), at(turn), at(began), at(Instant::now()));
        self.recorder.deliver(Delivery {
            id,
            router: self.router,
            sent,
            turn,
            timeout,
            began,
            ended,
            end,
        });
    }
}

/// Writes requests; whether the system accepted all of it.
pub fn write(connection: &mut Connection, requests: &[Request], action: ClientAction) -> bool {
    let all: Vec<u8> = requests
        .iter()
        .flat_map(|request| request.text.clone())
        .collect();
    match action {
        ClientAction::WriteInPieces(wait) => all.chunks(all.len() / 4 + 1).all(|piece| {
            sleep(wait);
            connection.stream.write_all(piece).is_ok()
        }),
        ClientAction::HalfRequest => connection.stream.write_all(&all[..all.len() / 2]).is_ok(),
        _ => connection.stream.write_all(&all).is_ok(),
    }
}
