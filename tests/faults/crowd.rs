//! Clients that take up a router's descriptors and time: they rest, stop within a request, write
//! requests ahead, with or without reading the answers, or send bodies that are over the limit or
//! in tiny chunks. Nothing that they do is recorded.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{JoinHandle, sleep, spawn};
use std::time::Duration;

use rand::RngExt;
use rand::rngs::StdRng;

/// Clients of a crowd that write ahead, in a large one, and others.
const WRITERS: std::ops::RangeInclusive<usize> = 0..=10;
const WRITERS_OF_LARGE: std::ops::RangeInclusive<usize> = 100..=140;
/// Clients of a crowd that send large bodies.
const SENDERS: std::ops::RangeInclusive<usize> = 0..=12;
const OTHERS: std::ops::RangeInclusive<usize> = 10..=60;
/// Commands that are written at once.
const COMMANDS: usize = 100;
const COMMAND: &[u8] = b"GET /_health HTTP/1.1\r\n\r\n";
const HALF_A_REQUEST: &[u8] =
    b"POST /v1/chat/completions HTTP/1.1\r\nX-Qos: hint\r\nContent-Length: 60000\r\n\r\n{";
/// Bytes of the body of a request that stops within it.
const HALF_A_BODY: usize = 30_000;
/// Bytes of a body over the limit.
const OVERSIZED_BODY: usize = 6 << 20;
const OVERSIZED_HEAD: &[u8] =
    b"POST /v1/chat/completions HTTP/1.1\r\nX-Qos: hint\r\nContent-Length: 6291456\r\n\r\n";
/// A body in chunks of one byte, which is no JSON.
const CHUNKED_HEAD: &[u8] =
    b"POST /v1/chat/completions HTTP/1.1\r\nX-Trace-Id: c0\r\nX-Qos: hint\r\n\
      X-Expires-In-Ms: 900\r\nX-Props: prompt_len=9,max_out=9\r\nTransfer-Encoding: chunked\r\n\r\n";
const TINY_CHUNK: &[u8] = b"1\r\nx\r\n";
const TINY_CHUNKS: usize = 40_000;
/// How long a read or write waits before the client looks whether the run is over.
const SOCKET_TIMEOUT: Duration = Duration::from_millis(5);
/// A client that was closed connects again after this.
const RECONNECT_DELAY: Duration = Duration::from_millis(20);

/// What a client of a crowd does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Behavior {
    Rest,
    StopWithinHead,
    StopWithinBody,
    WriteAhead,
    WriteAheadUnread,
    OversizedBody,
    TinyChunks,
}

/// The crowd of one router; ends when dropped.
pub struct Crowd {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Crowd {
    /// Starts a crowd, whose size and behaviour are drawn at random. A large one has many clients
    /// that write ahead.
    pub fn start(address: SocketAddr, is_large: bool, rng: &mut StdRng) -> Crowd {
        let stop = Arc::new(AtomicBool::new(false));
        let mut behaviors = Vec::new();
        let writers = if is_large { WRITERS_OF_LARGE } else { WRITERS };
        for _ in 0..rng.random_range(writers) {
            behaviors.push(if rng.random_bool(0.5) {
                Behavior::WriteAhead
            } else {
                Behavior::WriteAheadUnread
            });
        }
        for _ in 0..rng.random_range(OTHERS) {
            behaviors.push(match rng.random_range(0..3) {
                0 => Behavior::Rest,
                1 => Behavior::StopWithinHead,
                _ => Behavior::StopWithinBody,
            });
        }
        for _ in 0..rng.random_range(SENDERS) {
            behaviors.push(if rng.random_bool(0.5) {
                Behavior::OversizedBody
            } else {
                Behavior::TinyChunks
            });
        }
        let threads = behaviors.into_iter().map(|behavior| {
            let stop = stop.clone();
            spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    let _ = connect_once(address, behavior, &stop);
                    sleep(RECONNECT_DELAY);
                }
            })
        });
        Crowd {
            threads: threads.collect(),
            stop,
        }
    }
}

impl Drop for Crowd {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

/// One connection, until the router closes it or the run is over.
fn connect_once(address: SocketAddr, behavior: Behavior, stop: &AtomicBool) -> std::io::Result<()> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_millis(500))?;
    stream.set_read_timeout(Some(SOCKET_TIMEOUT))?;
    stream.set_write_timeout(Some(SOCKET_TIMEOUT))?;
    let mut written = 0;
    let mut unwritten = match behavior {
        Behavior::Rest => Vec::new(),
        Behavior::StopWithinHead => HALF_A_REQUEST[..50].to_vec(),
        Behavior::StopWithinBody => [HALF_A_REQUEST, &[b' '; HALF_A_BODY]].concat(),
        Behavior::WriteAhead | Behavior::WriteAheadUnread => COMMAND.repeat(COMMANDS),
        Behavior::OversizedBody => [OVERSIZED_HEAD, &vec![b'x'; OVERSIZED_BODY]].concat(),
        Behavior::TinyChunks => {
            [CHUNKED_HEAD, &TINY_CHUNK.repeat(TINY_CHUNKS), b"0\r\n\r\n"].concat()
        }
    };
    let writes_ahead = matches!(behavior, Behavior::WriteAhead | Behavior::WriteAheadUnread);
    let mut answers = [0; 16 << 10];
    while !stop.load(Ordering::Relaxed) {
        if written < unwritten.len() {
            match stream.write(&unwritten[written..]) {
                Ok(count) if writes_ahead => unwritten.rotate_left(count),
                Ok(count) => written += count,
                Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                Err(e) => return Err(e),
            }
        }
        if behavior == Behavior::WriteAheadUnread {
            sleep(Duration::from_millis(1));
            continue;
        }
        match stream.read(&mut answers) {
            Ok(0) => return Ok(()),
            Ok(_) => {}
            Err(e) if e.kind() == ErrorKind::WouldBlock => {}
            Err(e) => return Err(e),
        }
    }
    Ok(())
}
