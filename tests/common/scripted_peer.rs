//! Scripted peers on loopback sockets: model servers and discovery.
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

/// What a scripted peer does with a request, step by step.
#[derive(Clone, Debug)]
pub enum Step {
    Write(String),
    Sleep(u64),
    /// Waits for a permit of the gate, which the test adds.
    Gate,
    /// Returns the permit of the gate that it passed, for the next request.
    Release,
    /// Keeps silent until the other side closes.
    Hang,
    /// Ends the connection.
    Close,
}

/// A request as a peer saw it.
pub type Seen = (Head, Vec<u8>);

/// A scripted peer, and what it saw.
#[derive(Clone)]
pub struct Peer {
    pub address: String,
    pub connections: Arc<AtomicUsize>,
    /// Requests in flight now, and the highest number of them at any time.
    pub in_flight: Arc<AtomicUsize>,
    pub max_in_flight: Arc<AtomicUsize>,
    /// Requests that the other side cancelled.
    pub dropped: Arc<AtomicUsize>,
    pub gate: Arc<Semaphore>,
    pub seen: Arc<Mutex<Vec<Seen>>>,
}

/// A peer that answers its requests by a script, which gets the request's number, head and body.
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
    let (me, script) = (peer.clone(), Arc::new(script));
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            me.connections.fetch_add(1, Ordering::SeqCst);
            let (me, script) = (me.clone(), script.clone());
            tokio::spawn(async move {
                let mut buffer = Buffer::default();
                while let Some((head, body)) = read_request(&mut buffer, &mut stream).await {
                    let steps = {
                        let mut seen = me.seen.lock().unwrap();
                        seen.push((head.clone(), body.clone()));
                        script(seen.len() - 1, &head, &body)
                    };
                    let in_flight = me.in_flight.fetch_add(1, Ordering::SeqCst) + 1;
                    me.max_in_flight.fetch_max(in_flight, Ordering::SeqCst);
                    let open = me.run(steps, &mut buffer, &mut stream).await;
                    me.in_flight.fetch_sub(1, Ordering::SeqCst);
                    if !open {
                        return;
                    }
                }
            });
        }
    });
    peer
}

/// Reads a request; none where the connection ends or carries none.
pub async fn read_request(buffer: &mut Buffer, stream: &mut TcpStream) -> Option<(Head, Vec<u8>)> {
    let head = loop {
        match take_request_head(buffer).ok()? {
            Some(head) => break head,
            None if buffer.fill(stream).await.unwrap_or(0) == 0 => return None,
            None => {}
        }
    };
    let mut body = Body::new(head.framing(false).ok()?);
    let bytes = body.read_to_end(buffer, stream, 1 << 20).await.ok()?;
    Some((head, bytes.to_vec()))
}

/// Two model servers that answer `a` and `b`.
pub async fn answering_pair() -> (Peer, Peer) {
    (
        peer(|_, _, _| answer("a")).await,
        peer(|_, _, _| answer("b")).await,
    )
}

impl Peer {
    /// How many requests it saw.
    pub fn requests(&self) -> usize {
        self.seen.lock().unwrap().len()
    }

    /// How many requests it saw under this id.
    pub fn requests_under(&self, id: &str) -> usize {
        let seen = self.seen.lock().unwrap();
        let of_id = |(head, _): &&Seen| head.get("x-trace-id") == Some(id);
        seen.iter().filter(of_id).count()
    }

    /// The targets of the requests that it saw.
    pub fn targets(&self) -> Vec<String> {
        let seen = self.seen.lock().unwrap();
        seen.iter().map(|(head, _)| head.target.clone()).collect()
    }

    /// Executes a script; whether the connection is still open.
    async fn run(&self, steps: Vec<Step>, buffer: &mut Buffer, stream: &mut TcpStream) -> bool {
        let releases = steps.iter().any(|s| matches!(s, Step::Release));
        // a permit is returned too where the other side cancels the request
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
        if let Some(permit) = permit.filter(|_| !releases) {
            permit.forget();
        }
        true
    }
}
