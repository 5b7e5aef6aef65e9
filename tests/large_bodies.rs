//! Clients whose body bytes are always ready must not delay other clients: all connections share
//! one thread, and bodies are read in short turns.

mod common;

use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::ChildStderr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use common::peers::*;
use common::process::{Running, Scratch, serve};
use rstest::rstest;
use tokio::time::{Instant, timeout};

const SENDERS: usize = 24;
const ORDINARY_CLIENTS: usize = 16;
const TEST_DURATION: Duration = Duration::from_secs(4);
const DEADLINE_MS: u64 = 1000;
/// By the rules of the service an answer that arrives later is lost.
const LATE_AFTER: Duration = Duration::from_millis(DEADLINE_MS + 500);
const SOCKET_TIMEOUT: Duration = Duration::from_millis(500);
/// Far above the limit on bodies: the request is rejected at once, and the rest of its body is
/// discarded.
const LARGE_BODY_BYTES: usize = 6 << 20;
const TINY_CHUNKS: usize = 40_000;

/// A request whose body is over the limit.
fn oversized() -> Vec<u8> {
    let head =
        "POST /v1/chat/completions HTTP/1.1\r\nX-Trace-Id: 9b1f03aa5c7e2d41\r\nX-Qos: hint\r\n";
    let mut text = format!("{head}Content-Length: {LARGE_BODY_BYTES}\r\n\r\n").into_bytes();
    text.resize(text.len() + LARGE_BODY_BYTES, b'x');
    text
}

/// A complete request in chunks of one byte.
fn in_tiny_chunks() -> Vec<u8> {
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nX-Trace-Id: {}\r\nX-Qos: hint\r\n\
         X-Expires-In-Ms: {DEADLINE_MS}\r\nX-Props: prompt_len=100,max_out=20\r\n\
         Transfer-Encoding: chunked\r\n\r\n",
        fresh_id()
    );
    let mut text = head.into_bytes();
    let padding = "x".repeat(TINY_CHUNKS - 10);
    for byte in format!(r#"{{"pad":"{padding}"}}"#).bytes() {
        text.extend_from_slice(b"1\r\n");
        text.push(byte);
        text.extend_from_slice(b"\r\n");
    }
    text.extend_from_slice(b"0\r\n\r\n");
    text
}

/// Clients that send large requests one after the other, each request on a new connection and each
/// client in its own thread, until this value is dropped.
struct Senders {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Senders {
    fn start(address: &str, make_request: fn() -> Vec<u8>) -> Senders {
        let address: SocketAddr = address.parse().unwrap();
        let stop = Arc::new(AtomicBool::new(false));
        let send = |_| {
            let stop = stop.clone();
            std::thread::spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    // the result does not matter: the test checks how the ordinary clients are
                    // affected
                    let _ = send_one(address, &make_request());
                }
            })
        };
        let threads = (0..SENDERS).map(send).collect();
        Senders { stop, threads }
    }
}

impl Drop for Senders {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

fn send_one(address: SocketAddr, request: &[u8]) -> std::io::Result<()> {
    let mut stream = TcpStream::connect_timeout(&address, SOCKET_TIMEOUT)?;
    stream.set_write_timeout(Some(SOCKET_TIMEOUT))?;
    stream.set_read_timeout(Some(SOCKET_TIMEOUT))?;
    stream.write_all(request)?;
    stream.read(&mut [0; 4096]).map(|_| ())
}

/// Results of the ordinary clients' requests.
#[derive(Debug, Default)]
struct Counts {
    served: usize,
    rejected: usize,
    late: usize,
}

/// Sends requests one after the other, each on its own connection.
async fn ordinary_client(address: String) -> Counts {
    let mut counts = Counts::default();
    let end = Instant::now() + TEST_DURATION;
    while Instant::now() < end {
        match timeout(LATE_AFTER, ask(&address, "hint", DEADLINE_MS)).await {
            Ok(got) if got.head.status == 200 => counts.served += 1,
            Ok(_) => counts.rejected += 1,
            Err(_) => counts.late += 1,
        }
    }
    counts
}

/// A running router and its log.
struct TestedRouter {
    process: Running,
    address: String,
    log: BufReader<ChildStderr>,
}

impl TestedRouter {
    async fn start(name: &str, server: &Peer) -> TestedRouter {
        let text = config_text(&[("s-a", &server.address, "SERVING")], None);
        let file = Scratch::new(name, &text);
        let (process, address, log) = serve(&file).await;
        TestedRouter {
            process,
            address,
            log,
        }
    }

    /// Ends the process and returns its log.
    fn end(mut self) -> String {
        drop(self.process);
        let mut text = String::new();
        let _ = self.log.read_to_string(&mut text);
        text
    }
}

#[rstest]
#[case::oversized("oversized", oversized)]
#[case::in_tiny_chunks("tiny-chunks", in_tiny_chunks)]
#[tokio::test]
async fn large_bodies_delay_nobody(#[case] name: &str, #[case] make_request: fn() -> Vec<u8>) {
    let slow = [vec![Step::Sleep(50)], answer("x")].concat();
    let server = peer(move |_, _, _| slow.clone()).await;
    let router = TestedRouter::start(name, &server).await;
    let address = router.address.clone();
    let senders = Senders::start(&address, make_request);
    let clients = (0..ORDINARY_CLIENTS).map(|_| tokio::spawn(ordinary_client(address.clone())));
    let mut all = Counts::default();
    for counts in futures_util::future::join_all(clients).await {
        let counts = counts.unwrap();
        all.served += counts.served;
        all.rejected += counts.rejected;
        all.late += counts.late;
    }
    drop(senders);
    let log = router.end();
    println!("{name}: {all:?}");
    assert_eq!(all.late, 0, "{all:?}; {log}");
    assert!(all.served > 9 * all.rejected, "{all:?}; {log}");
}
