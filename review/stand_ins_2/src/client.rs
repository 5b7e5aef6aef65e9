//! Clients of the platform's front, and single calls.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crate::case::Case;
use crate::http::read_message;

/// An answer.
pub struct Reply {
    pub status: u16,
    pub text: String,
}

/// Makes one call on a connection of its own.
pub fn call(
    address: SocketAddr,
    method: &str,
    target: &str,
    headers: &str,
    body: &[u8],
) -> Result<Reply, String> {
    let run = || -> std::io::Result<Reply> {
        let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(2))?;
        stream.set_read_timeout(Some(Duration::from_secs(10)))?;
        stream.set_nodelay(true)?;
        let mut message = format!(
            "{method} {target} HTTP/1.1\r\nHost: service.internal\r\nConnection: close\r\n{headers}Content-Length: {}\r\n\r\n",
            body.len()
        )
        .into_bytes();
        message.extend_from_slice(body);
        stream.write_all(&message)?;
        let reply = read_message(&mut BufReader::new(&stream), true)?;
        let reply = reply.ok_or(std::io::ErrorKind::UnexpectedEof)?;
        Ok(Reply {
            status: reply.status(),
            text: reply.text(),
        })
    };
    run().map_err(|e| format!("{method} {target}: {e}"))
}

/// The tokens that a client asks for who wants a long answer.
pub const LONG_ANSWER_TOKENS: u32 = 500;

static LAST_ID: AtomicU64 = AtomicU64::new(0);

/// Clients that ask one request after the other, each on a connection of its own.
pub struct Load {
    stop: Arc<AtomicBool>,
    clients: Vec<JoinHandle<()>>,
    /// The number of answers by status; 0 counts connections without an answer.
    answers: Arc<Mutex<std::collections::BTreeMap<u16, u64>>>,
}

impl Load {
    /// `pause`: a client's time between two requests.
    pub fn start(case: &Case, address: SocketAddr, clients: usize, pause: Duration) -> Load {
        Load::start_with_long(case, address, clients, 0, pause)
    }

    /// The first `long` of the clients ask for long answers.
    pub fn start_with_long(
        case: &Case,
        address: SocketAddr,
        clients: usize,
        long: usize,
        pause: Duration,
    ) -> Load {
        let stop = Arc::<AtomicBool>::default();
        let answers = Arc::<Mutex<std::collections::BTreeMap<u16, u64>>>::default();
        let clients = (0..clients)
            .map(|number| {
                let (case, stop, answers) = (case.clone(), stop.clone(), answers.clone());
                thread::spawn(move || {
                    while !stop.load(Ordering::Relaxed) {
                        let status = ask(&case, address, number < long);
                        if let Ok(mut answers) = answers.lock() {
                            *answers.entry(status).or_default() += 1;
                        }
                        thread::sleep(pause);
                    }
                })
            })
            .collect();
        Load {
            stop,
            clients,
            answers,
        }
    }

    /// Ends the clients; returns the number of answers by status.
    pub fn end(self) -> std::collections::BTreeMap<u16, u64> {
        self.stop.store(true, Ordering::Relaxed);
        for client in self.clients {
            let _ = client.join();
        }
        self.answers
            .lock()
            .map(|answers| answers.clone())
            .unwrap_or_default()
    }
}

/// Sends one request under a fresh id; returns the status of its answer, or 0.
fn ask(case: &Case, address: SocketAddr, long: bool) -> u16 {
    let id = format!("c{:015x}", LAST_ID.fetch_add(1, Ordering::Relaxed));
    if long {
        ask_as(case, address, &id, "batch-mark", LONG_ANSWER_TOKENS)
    } else {
        ask_as(case, address, &id, "hint", 40)
    }
}

/// Sends one request to the platform's front; returns the status of its answer, or 0.
pub fn ask_as(case: &Case, address: SocketAddr, id: &str, class: &str, tokens: u32) -> u16 {
    let patience_ms = if class == "hint" { 1_500 } else { 15_000 };
    let headers = format!(
        "X-Trace-Id: {id}\r\nX-Qos: {class}\r\nX-Expires-In-Ms: {patience_ms}\r\nX-Props: prompt_len=12,max_out={tokens}\r\nContent-Type: application/json\r\n"
    );
    let body = format!(
        "{{\"model\":\"hint\",\"stream\":true,\"max_tokens\":{tokens},\"messages\":[{{\"role\":\"user\",\"content\":\"how do I add two fractions, please?\"}}]}}"
    );
    let sent = Instant::now();
    let reply = call(
        address,
        "POST",
        "/v1/chat/completions",
        &headers,
        body.as_bytes(),
    );
    let millis = sent.elapsed().as_millis();
    match reply {
        Ok(reply) => {
            case.note(&format!(
                "client: request {id}: answer {} after {millis} ms",
                reply.status
            ));
            reply.status
        }
        Err(error) => {
            case.note(&format!(
                "client: request {id}: no answer after {millis} ms: {error}"
            ));
            0
        }
    }
}
