//! Case 8: with the least memory that the pages name, requests beside many open streams are lost.

use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use stand_ins_2::{Case, Discovery, Launch, Member, ModelServer, Phase, Platform, Verdict};

/// Model servers.
const SERVERS: usize = 10;
/// The least and the most memory that LATER names, and the most descriptors.
const LEAST_MEMORY_MB: u32 = 32;
const MOST_MEMORY_MB: u32 = 192;
const SOCKETS: u32 = 1024;
/// Clients with long answers open, and clients that ask for hints. Together they hold less than a
/// third of the descriptors.
const STREAMS: usize = 320;
const HINT_CLIENTS: usize = 8;
/// How long a client waits for the first token of a hint.
const PATIENCE: Duration = Duration::from_millis(1500);
/// An answer that comes later than this after its time is lost.
const LATE: Duration = Duration::from_millis(500);
/// How long the hints are watched.
const WATCHED: Duration = Duration::from_secs(25);

fn main() {
    Case::open().run(run);
}

fn run(case: &Case) -> Result<Verdict, String> {
    let mut members = Vec::new();
    let mut servers = Vec::new();
    for number in 0..SERVERS {
        let id = format!("s-{number:08x}");
        let server = ModelServer::start(case, &id, "127.0.0.1:0", 5)?;
        members.push(Member {
            id,
            address: server.address,
            phase: Phase::Serving,
            cell: number as u32 / 4,
        });
        servers.push(server);
    }
    let discovery = Discovery::start(case, members)?;
    let mut platform = Platform::new(case, "least-memory")?;
    platform.discovery = Some(discovery.address);
    platform.known = Some(discovery.list());
    let memory_mb = if case.trouble {
        LEAST_MEMORY_MB
    } else {
        MOST_MEMORY_MB
    };
    platform.limits = (memory_mb, SOCKETS);
    let mut router = platform.start(&Launch::default())?;
    router.wait_ready(Duration::from_secs(10))?;
    let address = platform.address;
    let stop = Arc::<AtomicBool>::default();
    let counts = Arc::new(Counts::default());
    let mut clients = Vec::new();
    for number in 0..STREAMS {
        let (case, stop, counts) = (case.clone(), stop.clone(), counts.clone());
        // the streams begin over some seconds, some tens a second
        let begin = Duration::from_millis(25 * number as u64);
        clients.push(thread::spawn(move || {
            sleep(begin);
            let mut asked = 0;
            while !stop.load(Ordering::Relaxed) {
                asked += 1;
                let id = format!("long-{number}-{asked}");
                ask_long(&case, address, &id, &counts, &stop);
            }
        }));
    }
    sleep(Duration::from_millis(25 * STREAMS as u64));
    case.note("all clients with long answers have begun; the hints begin");
    let end = Instant::now() + WATCHED;
    let hints: Vec<_> = (0..HINT_CLIENTS)
        .map(|number| {
            let (case, counts) = (case.clone(), counts.clone());
            thread::spawn(move || {
                let mut asked = 0;
                while Instant::now() < end {
                    asked += 1;
                    ask_hint(&case, address, &format!("hint-{number}-{asked}"), &counts);
                    sleep(Duration::from_millis(200));
                }
            })
        })
        .collect();
    let mut peak = 0;
    while Instant::now() < end {
        peak = peak.max(router.anonymous_kib());
        sleep(Duration::from_millis(200));
    }
    for hint in hints {
        let _ = hint.join();
    }
    stop.store(true, Ordering::Relaxed);
    let get = |count: &AtomicU32| count.load(Ordering::Relaxed);
    let (asked, lost) = (get(&counts.hints), get(&counts.lost));
    case.say(&format!(
        "clients with long answers: {STREAMS}, most of them served at once: {}, memory at most {peak} KiB of {} KiB",
        get(&counts.most_open),
        memory_mb * 1024
    ));
    case.say(&format!(
        "hints written to connections that were accepted: {asked}; without a final answer {LATE:?} after their time: {lost}; statuses: {:?}",
        counts.statuses.lock().map(|statuses| statuses.clone()).unwrap_or_default()
    ));
    router.signal("TERM");
    router.wait_end(Duration::from_millis(3700));
    Ok(if lost > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

#[derive(Default)]
struct Counts {
    open: AtomicU32,
    most_open: AtomicU32,
    hints: AtomicU32,
    lost: AtomicU32,
    statuses: Mutex<std::collections::BTreeMap<u16, u32>>,
}

fn request(id: &str, class: &str, patience: Duration, tokens: u32) -> Vec<u8> {
    let body = format!(
        "{{\"model\":\"hint\",\"stream\":true,\"max_tokens\":{tokens},\"messages\":[{{\"role\":\"user\",\"content\":\"how do I add two fractions?\"}}]}}"
    );
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: service.internal\r\nConnection: close\r\nX-Trace-Id: {id}\r\nX-Qos: {class}\r\nX-Expires-In-Ms: {}\r\nX-Props: prompt_len=12,max_out={tokens}\r\nContent-Length: {}\r\n\r\n{body}",
        patience.as_millis(),
        body.len()
    )
    .into_bytes()
}

/// Asks for a long answer and reads it to its end.
fn ask_long(case: &Case, address: SocketAddr, id: &str, counts: &Counts, stop: &AtomicBool) {
    let run = || -> std::io::Result<()> {
        let mut stream = TcpStream::connect(address)?;
        stream.set_read_timeout(Some(Duration::from_millis(500)))?;
        stream.write_all(&request(id, "batch-mark", Duration::from_secs(15), 165))?;
        let mut reader = BufReader::new(&stream);
        let mut buffer = [0; 4096];
        let mut is_open = false;
        let begun = Instant::now();
        loop {
            match reader.read(&mut buffer) {
                Ok(0) => break,
                Ok(_) if !is_open => {
                    is_open = true;
                    let open = counts.open.fetch_add(1, Ordering::Relaxed) + 1;
                    counts.most_open.fetch_max(open, Ordering::Relaxed);
                    let status = String::from_utf8_lossy(&buffer[9..12]).into_owned();
                    let millis = begun.elapsed().as_millis();
                    case.note(&format!(
                        "client: request {id}: {status} begins after {millis} ms"
                    ));
                }
                Ok(_) => {}
                Err(e) if is_timeout(&e) && !stop.load(Ordering::Relaxed) => {}
                Err(_) => break,
            }
            if stop.load(Ordering::Relaxed) {
                break;
            }
        }
        if is_open {
            counts.open.fetch_sub(1, Ordering::Relaxed);
        }
        Ok(())
    };
    if let Err(e) = run() {
        case.note(&format!("client: request {id}: {e}"));
        sleep(Duration::from_millis(200));
    }
}

fn is_timeout(error: &std::io::Error) -> bool {
    use std::io::ErrorKind::{TimedOut, WouldBlock};
    matches!(error.kind(), TimedOut | WouldBlock)
}

/// Asks for a hint. It is lost if no answer has begun `LATE` after its time.
fn ask_hint(case: &Case, address: SocketAddr, id: &str, counts: &Counts) {
    let run = || -> std::io::Result<(Option<u16>, Duration)> {
        let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.write_all(&request(id, "hint", PATIENCE, 40))?;
        let written = Instant::now();
        counts.hints.fetch_add(1, Ordering::Relaxed);
        stream.set_read_timeout(Some(PATIENCE + LATE))?;
        let mut head = [0; 12];
        match stream.read_exact(&mut head) {
            Ok(()) => {}
            Err(e) if is_timeout(&e) => return Ok((None, written.elapsed())),
            Err(e) => return Err(e),
        }
        let waited = written.elapsed();
        stream.set_read_timeout(Some(Duration::from_secs(5)))?;
        let _ = stream.read_to_end(&mut Vec::new());
        let status = String::from_utf8_lossy(&head[9..12]).parse().unwrap_or(0);
        Ok((Some(status), waited))
    };
    match run() {
        Ok((Some(status), waited)) => {
            case.note(&format!(
                "client: request {id}: {status} after {} ms",
                waited.as_millis()
            ));
            if let Ok(mut statuses) = counts.statuses.lock() {
                *statuses.entry(status).or_default() += 1;
            }
        }
        Ok((None, waited)) => {
            counts.lost.fetch_add(1, Ordering::Relaxed);
            case.note(&format!(
                "client: request {id}: no answer after {} ms",
                waited.as_millis()
            ));
        }
        // closed or reset: the client would send it once more, so it isn't counted
        Err(e) => case.note(&format!("client: request {id}: {e}")),
    }
}
