//! Scripted peers on loopback sockets, which replace model servers and discovery.
#![allow(dead_code)]

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use stilespan::net::http::{Body, Buffer, Head, take_request_head};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::sleep;

use super::responses::answer;

/// One step of a scripted peer's reaction to a request.
#[derive(Clone, Debug)]
pub enum Step {
    Write(String),
    /// Sleeps for a number of milliseconds.
    Sleep(u64),
    /// Waits for a permit of the gate. The test adds the permits.
    Gate,
    /// Returns the gate's permit, so that the next request can pass the gate.
    Release,
    /// Sends nothing until the other side closes the connection.
    Hang,
    /// Closes the connection.
    Close,
}

/// A request's head and body as a peer received them.
pub type Seen = (Head, Vec<u8>);

/// A scripted peer with a record of the requests that it received.
#[derive(Clone)]
pub struct Peer {
    pub address: String,
    pub connections: Arc<AtomicUsize>,
    /// The number of requests in flight now.
    pub in_flight: Arc<AtomicUsize>,
    /// The maximum number of requests that were in flight at the same time.
    pub max_in_flight: Arc<AtomicUsize>,
    /// The number of requests that the other side cancelled.
    pub dropped: Arc<AtomicUsize>,
    pub gate: Arc<Semaphore>,
    pub seen: Arc<Mutex<Vec<Seen>>>,
}

/// Starts a peer. For each request, `script` gets the request's number, head and body, and returns
/// the steps to execute.
pub async fn peer(
    script: impl Fn(usize, &Head, &[u8]) -> Vec<Step> + Send + Sync + 'static,
) -> Peer {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let peer = Peer {
        address: listener.local_addr().unwrap().to_string(),
        connections: Arc::default(),
        in_flight: Arc::default(),
        max_in_flight: Arc::default(),
        dropped: Arc::default(),
        gate: Arc::new(Semaphore::new(0)),
        seen: Arc::default(),
    };
    let (server, script) = (peer.clone(), Arc::new(script));
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            server.connections.fetch_add(1, Ordering::SeqCst);
            let (server, script) = (server.clone(), script.clone());
            tokio::spawn(async move {
                let mut buffer = Buffer::default();
                while let Some((head, body)) = read_request(&mut buffer, &mut stream).await {
                    let steps = {
                        let mut seen = server.seen.lock().unwrap();
                        seen.push((head.clone(), body.clone()));
                        script(seen.len() - 1, &head, &body)
                    };
                    let in_flight = server.in_flight.fetch_add(1, Ordering::SeqCst) + 1;
                    server.max_in_flight.fetch_max(in_flight, Ordering::SeqCst);
                    let is_open = server.run(steps, &mut buffer, &mut stream).await;
                    server.in_flight.fetch_sub(1, Ordering::SeqCst);
                    if !is_open {
                        return;
                    }
                }
            });
        }
    });
    peer
}

/// Reads a request. Returns `None` if the connection ends or the bytes are not a request.
pub async fn read_request(buffer: &mut Buffer, stream: &mut TcpStream) -> Option<(Head, Vec<u8>)> {
    let head = loop {
        match take_request_head(buffer).ok()? {
            Some(head) => break head,
            None if buffer.fill(stream).await.unwrap_or(0) == 0 => return None,
            None => {}
        }
    };
    let mut body = Body::new(head.request_framing().ok()?);
    let bytes = body.read_to_end(buffer, stream, 1 << 20).await.ok()?;
    Some((head, bytes.to_vec()))
}

/// Starts two model servers that answer `a` and `b`.
pub async fn answering_pair() -> (Peer, Peer) {
    (
        peer(|_, _, _| answer("a")).await,
        peer(|_, _, _| answer("b")).await,
    )
}

impl Peer {
    /// Returns the number of requests that the peer received.
    pub fn requests(&self) -> usize {
        self.seen.lock().unwrap().len()
    }

    /// Returns the number of requests in flight now.
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::SeqCst)
    }

    /// Returns the number of requests with this id that the peer received.
    pub fn requests_under(&self, id: &str) -> usize {
        let seen = self.seen.lock().unwrap();
        let of_id = |(head, _): &&Seen| head.get("x-trace-id") == Some(id);
        seen.iter().filter(of_id).count()
    }

    /// Returns the targets of the requests that the peer received.
    pub fn targets(&self) -> Vec<String> {
        let seen = self.seen.lock().unwrap();
        seen.iter().map(|(head, _)| head.target.clone()).collect()
    }

    /// Executes a script. Returns whether the connection is still open.
    async fn run(&self, steps: Vec<Step>, buffer: &mut Buffer, stream: &mut TcpStream) -> bool {
        let has_release_step = steps.iter().any(|s| matches!(s, Step::Release));
        // the permit is dropped, and so returned, if the other side cancels the request
        let mut permit = None;
        for step in steps {
            let wait = async {
                match step {
                    Step::Sleep(ms) => sleep(Duration::from_millis(ms)).await,
                    Step::Gate => permit = Some(self.gate.acquire().await.unwrap()),
                    Step::Hang => std::future::pending().await,
                    Step::Release => permit = None,
                    Step::Write(_) | Step::Close => {}
                }
            };
            if matches!(step, Step::Close) {
                return false;
            }
            let disconnected = tokio::select! {
                biased;
                () = wait => false,
                n = buffer.fill(stream) => n.unwrap_or(0) == 0,
            };
            let wrote = match &step {
                Step::Write(text) => stream.write_all(text.as_bytes()).await.is_ok(),
                _ => true,
            };
            if disconnected || !wrote {
                self.dropped.fetch_add(1, Ordering::SeqCst);
                return false;
            }
        }
        if let Some(permit) = permit.filter(|_| !has_release_step) {
            permit.forget();
        }
        true
    }
}
