//! A model server as the protocol page describes it: one request at a time on a connection, an
//! answer as a stream of events in chunks, one token for four characters. It also names its models
//! (`GET /v1/models`), as the public API has it. It stays sound throughout.

use std::io::{self, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// How a server answers.
#[derive(Clone, Debug)]
pub struct Options {
    pub name: String,
    pub models: Vec<String>,
    pub first_token: Duration,
    pub tokens: usize,
    pub token_interval: Duration,
}

/// A request that reached a server.
#[derive(Clone, Debug)]
pub struct Received {
    pub server: String,
    pub trace_id: String,
    pub body: String,
    /// When its last byte had arrived.
    pub begun: Instant,
    /// When its answer ended or its connection was gone; `None` while it is out.
    pub ended: Option<Instant>,
}

/// A running server. It ends with the process.
#[derive(Clone)]
pub struct ModelServer {
    pub address: String,
    options: Arc<Options>,
    received: Arc<Mutex<Vec<Received>>>,
}

struct Request {
    method: String,
    path: String,
    trace_id: String,
    body: Vec<u8>,
}

impl ModelServer {
    pub fn start(options: Options) -> io::Result<ModelServer> {
        ModelServer::start_at("127.0.0.1:0", options)
    }

    pub fn start_at(address: &str, options: Options) -> io::Result<ModelServer> {
        let listener = TcpListener::bind(address)?;
        let server = ModelServer {
            address: listener.local_addr()?.to_string(),
            options: Arc::new(options),
            received: Arc::default(),
        };
        let accepting = server.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = accepting.clone();
                thread::spawn(move || {
                    let _ = server.serve(stream);
                });
            }
        });
        Ok(server)
    }

    /// The requests that have reached the server completely.
    pub fn received(&self) -> Vec<Received> {
        self.received.lock().unwrap().clone()
    }

    pub fn received_count(&self) -> usize {
        self.received.lock().unwrap().len()
    }

    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut buffer = Vec::new();
        loop {
            let request = read_request(&mut stream, &mut buffer)?;
            match (request.method.as_str(), request.path.as_str()) {
                ("POST", "/v1/chat/completions") if !request.trace_id.is_empty() => {
                    self.answer(&mut stream, &request)?;
                }
                ("GET", "/v1/models") => {
                    let models = self.options.models.iter();
                    let models: Vec<String> = models
                        .map(|name| format!("{{\"id\":\"{name}\"}}"))
                        .collect();
                    let body = format!("{{\"object\":\"list\",\"data\":[{}]}}", models.join(","));
                    plain(&mut stream, "200 OK", &body)?;
                }
                _ => plain(&mut stream, "404 Not Found", "no")?,
            }
        }
    }

    fn answer(&self, stream: &mut TcpStream, request: &Request) -> io::Result<()> {
        let number = {
            let mut received = self.received.lock().unwrap();
            received.push(Received {
                server: self.options.name.clone(),
                trace_id: request.trace_id.clone(),
                body: String::from_utf8_lossy(&request.body).into_owned(),
                begun: Instant::now(),
                ended: None,
            });
            received.len() - 1
        };
        let answered = self.stream(stream, request);
        self.received.lock().unwrap()[number].ended = Some(Instant::now());
        answered
    }

    fn stream(&self, stream: &mut TcpStream, request: &Request) -> io::Result<()> {
        thread::sleep(self.options.first_token);
        let head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
        stream.write_all(head.as_bytes())?;
        let tokens = self.options.tokens;
        for token in 1..=tokens {
            let finish = if token == tokens { "\"stop\"" } else { "null" };
            let text = format!("{:03} ", token % 1000);
            event(
                stream,
                &format!(
                    "{{\"choices\":[{{\"index\":0,\"delta\":{{\"content\":\"{text}\"}},\"finish_reason\":{finish}}}]}}"
                ),
            )?;
            thread::sleep(self.options.token_interval);
        }
        let prompt = (request.body.len() / 4).max(1);
        event(
            stream,
            &format!(
                "{{\"choices\":[],\"usage\":{{\"prompt_tokens\":{prompt},\"completion_tokens\":{tokens},\"prompt_tokens_details\":{{\"cached_tokens\":0}}}}}}"
            ),
        )?;
        event(stream, "[DONE]")?;
        stream.write_all(b"0\r\n\r\n")
    }
}

fn event(stream: &mut TcpStream, data: &str) -> io::Result<()> {
    let event = format!("data: {data}\n\n");
    stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())
}

fn plain(stream: &mut TcpStream, status: &str, body: &str) -> io::Result<()> {
    let length = body.len();
    let text = format!(
        "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\r\n{body}"
    );
    stream.write_all(text.as_bytes())
}

fn read_request(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<Request> {
    let mut more = |buffer: &mut Vec<u8>| {
        let mut bytes = [0; 16 << 10];
        let count = stream.read(&mut bytes)?;
        buffer.extend_from_slice(&bytes[..count]);
        if count == 0 {
            return Err(io::Error::from(io::ErrorKind::UnexpectedEof));
        }
        Ok(())
    };
    let end = loop {
        if let Some(end) = buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
            break end;
        }
        more(buffer)?;
    };
    let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
    let header = |name: &str| {
        head.lines().skip(1).find_map(|line| {
            let (key, value) = line.split_once(':')?;
            key.eq_ignore_ascii_case(name)
                .then(|| value.trim().to_string())
        })
    };
    let length: usize = header("content-length")
        .and_then(|v| v.parse().ok())
        .unwrap_or(0);
    while buffer.len() < end + 4 + length {
        more(buffer)?;
    }
    let mut first = head.lines().next().unwrap_or_default().split(' ');
    let request = Request {
        method: first.next().unwrap_or_default().into(),
        path: first.next().unwrap_or_default().into(),
        trace_id: header("x-trace-id").unwrap_or_default(),
        body: buffer[end + 4..end + 4 + length].to_vec(),
    };
    buffer.drain(..end + 4 + length);
    Ok(request)
}
