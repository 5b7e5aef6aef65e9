//! A model server: streams an answer of a few events, begins a request when its last byte has come,
//! and notes each. One that drains turns new requests away unseen (503, `X-Never-Ran: 1`).

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::case::Case;
use crate::client::LONG_ANSWER_TOKENS;
use crate::http::{Message, read_message};

/// The tokens of an answer that comes a token every 50 ms, an event a token: 8.3 s.
pub const SLOW_ANSWER_TOKENS: u32 = 165;
/// The events of a long answer: 2.5 s.
const LONG_ANSWER_EVENTS: u32 = 125;

/// A request that came to a server.
#[derive(Clone, Debug)]
pub struct Seen {
    pub at: Instant,
    pub id: String,
    pub body: String,
}

#[derive(Clone)]
pub struct ModelServer {
    pub name: String,
    pub address: SocketAddr,
    seen: Arc<Mutex<Vec<Seen>>>,
    draining: Arc<AtomicBool>,
    events: u32,
    case: Case,
}

impl ModelServer {
    /// Starts a server. Its answers have this many events, 20 ms apart.
    pub fn start(
        case: &Case,
        name: &str,
        listen: &str,
        events: u32,
    ) -> Result<ModelServer, String> {
        let listener = TcpListener::bind(listen)
            .map_err(|e| format!("{name} can't listen on {listen}: {e}"))?;
        let address = listener.local_addr().map_err(|e| e.to_string())?;
        let server = ModelServer {
            name: name.into(),
            address,
            seen: Arc::default(),
            draining: Arc::default(),
            events,
            case: case.clone(),
        };
        let acceptor = server.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = acceptor.clone();
                let serve = move || drop(server.serve(stream));
                let _ = thread::Builder::new().stack_size(128 << 10).spawn(serve);
            }
        });
        Ok(server)
    }

    pub fn set_draining(&self) {
        self.draining.store(true, Ordering::Relaxed);
    }

    pub fn seen(&self) -> Vec<Seen> {
        self.seen
            .lock()
            .map(|seen| seen.clone())
            .unwrap_or_default()
    }

    /// The requests that came in this time.
    pub fn seen_between(&self, from: Instant, to: Instant) -> Vec<Seen> {
        let mut seen = self.seen();
        seen.retain(|seen| seen.at >= from && seen.at < to);
        seen
    }

    fn serve(&self, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        while let Some(request) = read_message(&mut reader, false)? {
            self.answer(&request, &stream)?;
        }
        Ok(())
    }

    fn answer(&self, request: &Message, mut stream: &TcpStream) -> std::io::Result<()> {
        let (method, path) = request.request();
        let id = request.header("x-trace-id");
        let (true, Some(id)) = (method == "POST" && path == "/v1/chat/completions", id) else {
            return stream.write_all(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
        };
        let draining = self.draining.load(Ordering::Relaxed);
        let note = if draining {
            "turned away, draining"
        } else {
            "begins"
        };
        self.case
            .note(&format!("server {}: request {id}: {note}", self.name));
        if let Ok(mut seen) = self.seen.lock() {
            seen.push(Seen {
                at: Instant::now(),
                id: id.into(),
                body: request.text(),
            });
        }
        if draining {
            return stream.write_all(
                b"HTTP/1.1 503 Service Unavailable\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n",
            );
        }
        let text = request.text();
        let asks_for = |tokens: u32| text.contains(&format!("\"max_tokens\":{tokens}"));
        let (events, interval) = if asks_for(LONG_ANSWER_TOKENS) {
            (LONG_ANSWER_EVENTS, 20)
        } else if asks_for(SLOW_ANSWER_TOKENS) {
            (SLOW_ANSWER_TOKENS, 50)
        } else {
            (self.events, 20)
        };
        thread::sleep(Duration::from_millis(10));
        stream.write_all(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
        )?;
        for number in 1..=events {
            let finish = if number == events { "\"stop\"" } else { "null" };
            let event = format!(
                "data: {{\"choices\":[{{\"index\":0,\"delta\":{{\"content\":\"oqvh\"}},\"finish_reason\":{finish}}}]}}\n\n"
            );
            write_chunk(stream, &event)?;
            thread::sleep(Duration::from_millis(interval));
        }
        write_chunk(
            stream,
            &format!(
                "data: {{\"choices\":[],\"usage\":{{\"prompt_tokens\":12,\"completion_tokens\":{},\"prompt_tokens_details\":{{\"cached_tokens\":0}}}}}}\n\n",
                events
            ),
        )?;
        write_chunk(stream, "data: [DONE]\n\n")?;
        stream.write_all(b"0\r\n\r\n")
    }
}

fn write_chunk(mut stream: &TcpStream, text: &str) -> std::io::Result<()> {
    stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())
}
