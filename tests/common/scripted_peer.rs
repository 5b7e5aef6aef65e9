//! Scripted peers on loopback sockets: model servers, discovery and clients, and a router in the
//! same thread.
#![allow(dead_code)]

pub use super::client::{Client, Got};
#[allow(unused_imports)]
pub use super::platform::{config, config_text, list};

use std::path::Path;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde_json::json;
use stilespan::batch;
use stilespan::config::Config;
use stilespan::net::http::{Body, Buffer, Head, take_request_head};
use stilespan::router::{self, RouterOptions};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep};

/// What a scripted peer does with a request, step by step.
#[derive(Clone, Debug)]
pub enum Step {
    Write(String),
    Sleep(u64),
    /// Waits until the test opens the gate.
    Gate,
    /// Opens the gate that it came through for the next.
    Free,
    /// Keeps silent until the other side goes.
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
    /// Requests that the other side gave up.
    pub dropped: Arc<AtomicUsize>,
    pub gate: Arc<Semaphore>,
    pub seen: Arc<Mutex<Vec<Seen>>>,
}

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
                    let open = me.play(steps, &mut buffer, &mut stream).await;
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

impl Peer {
    pub fn requests(&self) -> usize {
        self.seen.lock().unwrap().len()
    }

    /// Plays a script; says whether the connection is still open.
    async fn play(&self, steps: Vec<Step>, buffer: &mut Buffer, stream: &mut TcpStream) -> bool {
        let frees = steps.iter().any(|s| matches!(s, Step::Free));
        // a slot is free again too where the other side gives up the request
        let mut slot = None;
        for step in steps {
            let wait = async {
                match step {
                    Step::Sleep(ms) => sleep(Duration::from_millis(ms)).await,
                    Step::Gate => slot = Some(self.gate.acquire().await.unwrap()),
                    Step::Hang => std::future::pending().await,
                    Step::Free => slot = None,
                    Step::Write(_) | Step::Close => {}
                }
            };
            if matches!(step, Step::Close) {
                return false;
            }
            let gone = tokio::select! {
                biased;
                () = wait => false,
                n = buffer.fill(stream) => n.unwrap_or(0) == 0,
            };
            let wrote = match &step {
                Step::Write(text) => stream.write_all(text.as_bytes()).await.is_ok(),
                _ => true,
            };
            if gone || !wrote {
                self.dropped.fetch_add(1, Ordering::SeqCst);
                return false;
            }
        }
        if let Some(slot) = slot.filter(|_| !frees) {
            slot.forget();
        }
        true
    }
}

pub fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

pub const STREAM: &str =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
pub const LAST: &str = "0\r\n\r\n";

pub fn event(text: &str) -> String {
    let choice = json!({"index": 0, "delta": {"content": text}, "finish_reason": null});
    format!("data: {}\n\n", json!({"choices": [choice]}))
}

/// A whole answer of one event.
pub fn answer(text: &str) -> Vec<Step> {
    vec![Step::Write(format!(
        "{STREAM}{}{}{LAST}",
        chunk(&event(text)),
        chunk("data: [DONE]\n\n")
    ))]
}

pub fn plain(status: &str, extra: &str) -> Vec<Step> {
    vec![Step::Write(format!(
        "HTTP/1.1 {status}\r\n{extra}Content-Length: 2\r\n\r\nno"
    ))]
}

/// A router under test.
pub struct Router {
    pub platform: String,
    pub batch: String,
    pub admin: String,
    pub end: watch::Sender<bool>,
    pub reloader: router::Reloader,
    pub done: JoinHandle<()>,
}

pub async fn start(plan: RouterOptions) -> Router {
    let (end, ending) = watch::channel(false);
    let router = router::open(plan, ending).await.unwrap();
    let (platform, batch) = (router.platform_address(), router.batch_address());
    let text = |a: Option<std::net::SocketAddr>| a.map_or_else(String::new, |a| a.to_string());
    let (reloader, admin) = (router.reloader(), text(router.admin_address()));
    Router {
        admin,
        platform: text(platform),
        batch: text(batch),
        end,
        reloader,
        done: tokio::spawn(router.serve()),
    }
}

pub async fn route(config: Config) -> Router {
    start(RouterOptions {
        config,
        batch: None,
        edge: None,
        inventory: None,
        config_file: None,
        inherited: None,
    })
    .await
}

pub fn batch_options(spool: &Path) -> batch::Options {
    batch::Options {
        listen: "127.0.0.1:0".into(),
        spool: spool.to_path_buf(),
        inventory: None,
        class: "batch-mark".into(),
        endpoints: vec!["/v1/chat/completions".into()],
        window: 16,
        limits: batch::Limits::default(),
    }
}

/// An id that no request has had.
pub fn fresh_id() -> String {
    static LAST: AtomicUsize = AtomicUsize::new(0x9b1f_03aa);
    format!("{:016x}", LAST.fetch_add(1, Ordering::SeqCst))
}

/// A request of the platform's protocol.
pub fn request(class: &str, expires_ms: u64, more: &str) -> Vec<u8> {
    request_of(&fresh_id(), class, expires_ms, more)
}

/// The same, of this id.
pub fn request_of(id: &str, class: &str, expires_ms: u64, more: &str) -> Vec<u8> {
    let body = r#"{"model":"chat","stream":true,"max_tokens":20,"messages":[{"role":"user","content":"why?"}]}"#;
    let head = format!(
        "POST /v1/chat/completions?a=b HTTP/1.1\r\nHost: service.internal\r\nX-Trace-Id: {id}\r\n\
         X-Qos: {class}\r\nX-Object: 7f3a9c21e0b4d655\r\nX-Expires-In-Ms: {expires_ms}\r\n\
         X-Props: prompt_len=100,max_out=20\r\n{more}Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    head.into_bytes()
}

pub async fn ask(address: &str, class: &str, expires_ms: u64) -> Got {
    Client::new(address)
        .await
        .call(&request(class, expires_ms, ""))
        .await
}

/// Waits until something holds; generously, as a busy machine may be slow.
pub async fn until(what: &str, holds: impl Fn() -> bool) {
    let start = Instant::now();
    while !holds() {
        assert!(
            start.elapsed() < Duration::from_secs(20),
            "not in 20 s: {what}"
        );
        sleep(Duration::from_millis(5)).await;
    }
}
