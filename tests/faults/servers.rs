//! Model servers that answer, break off, answer twice or hang, drawn from the seed, and keep a
//! record.

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{JoinHandle, sleep, spawn};
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::http::{Connection, Message, Progress};
use super::record::{Attempt, AttemptEnd};
use super::recorder::Recorder;

/// Interval at which a server checks whether the run is over.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// How long a hanging server says nothing.
const HANG: Duration = Duration::from_secs(4);
const STREAM: &str =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

/// What a server does with a request.
#[derive(Clone, Copy, Debug)]
enum Behaviour {
    /// Answers after so long with so many events.
    Answer { first: Duration, events: u32 },
    /// The same, with a second answer so long after the first.
    AnswerTwice { first: Duration, later: Duration },
    /// Answers, and closes the connection so long after it.
    CloseAfter { first: Duration, later: Duration },
    /// Breaks off after so many events; 0 means ahead of the head.
    Truncate { first: Duration, events: u32 },
    /// Answers 500, or 503 with `X-Never-Ran`.
    Reject { never_ran: bool },
    /// Sends nothing for `HANG`, then closes.
    Hang,
}

impl Behaviour {
    fn draw(rng: &mut StdRng) -> Behaviour {
        let mut ms = |most: u64| Duration::from_millis(rng.random_range(1..=most));
        let (first, later) = (ms(60), ms(20));
        let events = rng.random_range(0..8);
        match rng.random_range(0..100) {
            0..60 => Behaviour::Answer {
                first,
                events: events + 1,
            },
            60..70 => Behaviour::AnswerTwice { first, later },
            70..80 => Behaviour::CloseAfter { first, later },
            80..90 => Behaviour::Truncate { first, events },
            90..95 => Behaviour::Reject {
                never_ran: events > 3,
            },
            _ => Behaviour::Hang,
        }
    }
}

/// A running server.
pub struct Server {
    pub address: SocketAddr,
    thread: JoinHandle<()>,
}

impl Server {
    pub fn start(seed: u64, recorder: Arc<Recorder>, stop: Arc<AtomicBool>) -> Server {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port");
        let address = listener.local_addr().expect("its address");
        listener.set_nonblocking(true).expect("not blocking");
        let thread = spawn(move || {
            let mut connections = Vec::new();
            while !stop.load(Ordering::Relaxed) {
                let Ok((stream, _)) = listener.accept() else {
                    sleep(Duration::from_millis(1));
                    continue;
                };
                let seed = seed.wrapping_add(connections.len() as u64 * 7919);
                let (recorder, stop) = (recorder.clone(), stop.clone());
                connections.push(spawn(move || serve(stream, seed, &recorder, &stop)));
            }
            for connection in connections {
                let _ = connection.join();
            }
        });
        Server { address, thread }
    }

    pub fn join(self) {
        let _ = self.thread.join();
    }
}

fn serve(stream: TcpStream, seed: u64, recorder: &Recorder, stop: &AtomicBool) {
    let _ = stream.set_nonblocking(false);
    let mut rng = StdRng::seed_from_u64(seed);
    let mut connection = Connection::new(stream);
    while !stop.load(Ordering::Relaxed) {
        match connection.message(Instant::now() + STOP_CHECK_INTERVAL) {
            Ok(message) if message.complete => {
                let behaviour = Behaviour::draw(&mut rng);
                if !answer(&mut connection, &message, behaviour, recorder) {
                    return;
                }
            }
            Err(Progress::TimedOut) => {}
            // an incomplete request has not run
            _ => return,
        }
    }
}

/// Answers a request; whether the connection stays open.
fn answer(
    connection: &mut Connection,
    request: &Message,
    behaviour: Behaviour,
    recorder: &Recorder,
) -> bool {
    let id = request
        .head
        .get("x-trace-id")
        .unwrap_or_default()
        .to_string();
    let forwarded_timeout = request
        .head
        .get("x-expires-in-ms")
        .and_then(|ms| ms.parse().ok())
        .unwrap_or_default();
    let attempt = recorder.begin(Attempt {
        id: id.clone(),
        began: recorder.at(request.began),
        forwarded_timeout: Duration::from_millis(forwarded_timeout),
        ended: Duration::MAX,
        end: AttemptEnd::Cancelled,
    });
    let (end, open) = execute(connection, &id, behaviour);
    recorder.end(attempt, end, Instant::now());
    if let (true, Behaviour::AnswerTwice { later, .. }) = (open, behaviour) {
        sleep(later);
        return write(
            connection,
            &[STREAM, &events("second-answer", 1), "0\r\n\r\n"].concat(),
        );
    }
    if let (true, Behaviour::CloseAfter { later, .. }) = (open, behaviour) {
        sleep(later);
        return false;
    }
    open
}

/// Executes a behaviour: how the attempt ends, and whether the connection stays open.
fn execute(connection: &mut Connection, id: &str, behaviour: Behaviour) -> (AttemptEnd, bool) {
    let (first, count) = match behaviour {
        Behaviour::Answer { first, events } | Behaviour::Truncate { first, events } => {
            (first, events)
        }
        Behaviour::AnswerTwice { first, .. } | Behaviour::CloseAfter { first, .. } => (first, 2),
        Behaviour::Reject { .. } => (Duration::ZERO, 0),
        Behaviour::Hang => (HANG, 0),
    };
    if !wait(connection, first) {
        return (AttemptEnd::Cancelled, false);
    }
    match behaviour {
        Behaviour::Hang => (AttemptEnd::Failed, false),
        Behaviour::Reject { never_ran } => {
            let head = if never_ran {
                "503 Service Unavailable\r\nX-Never-Ran: 1"
            } else {
                "500 Error"
            };
            let open = write(
                connection,
                &format!("HTTP/1.1 {head}\r\nContent-Length: 2\r\n\r\nno"),
            );
            (AttemptEnd::Failed, open)
        }
        Behaviour::Truncate { events: 0, .. } => (AttemptEnd::Failed, false),
        _ => {
            for n in 0..count {
                let text = if n == 0 {
                    [STREAM, &events(id, 1)].concat()
                } else {
                    events(id, 1)
                };
                if !write(connection, &text) || !wait(connection, Duration::from_millis(3)) {
                    return (AttemptEnd::Cancelled, false);
                }
            }
            if matches!(behaviour, Behaviour::Truncate { .. }) {
                return (AttemptEnd::TruncatedByServer, false);
            }
            let complete = write(connection, "e\r\ndata: [DONE]\n\n\r\n0\r\n\r\n");
            (
                if complete {
                    AttemptEnd::Complete
                } else {
                    AttemptEnd::Cancelled
                },
                complete,
            )
        }
    }
}

/// Events that name the request for which they are made.
fn events(id: &str, count: usize) -> String {
    let event = format!("data: {{\"made_for\":\"{id}\"}}\n\n");
    format!("{:x}\r\n{event}\r\n", event.len()).repeat(count)
}

fn write(connection: &mut Connection, text: &str) -> bool {
    connection.stream.write_all(text.as_bytes()).is_ok()
}

/// Waits; whether the router keeps the connection open.
fn wait(connection: &mut Connection, duration: Duration) -> bool {
    let until = Instant::now() + duration;
    while Instant::now() < until {
        match connection.read(until) {
            Progress::TimedOut => return true,
            Progress::More => {}
            Progress::Closed | Progress::Reset => return false,
        }
    }
    true
}
