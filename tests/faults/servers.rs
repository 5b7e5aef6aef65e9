//! Model servers that answer, break off, answer twice or fall silent, as the seed has it, and keep
//! a record.

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
use super::seed_run::Recorder;

/// A server looks so often whether the play is over.
const LOOK: Duration = Duration::from_millis(50);
/// A server that falls silent does so for so long.
const SILENCE: Duration = Duration::from_secs(4);
const STREAM: &str =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

/// What a server does with a request.
#[derive(Clone, Copy, Debug)]
enum Behaviour {
    /// Answers after so long with so many events.
    Answer { first: Duration, events: u32 },
    /// The same, with a second answer so long after the first.
    Twice { first: Duration, later: Duration },
    /// Answers, and closes the connection so long after it.
    CloseAfter { first: Duration, later: Duration },
    /// Breaks off after so many events; none means ahead of the head.
    BreakOff { first: Duration, events: u32 },
    /// Answers 500, or 503 with `X-Never-Ran`.
    Decline { never_ran: bool },
    /// Says nothing.
    Silent,
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
            60..70 => Behaviour::Twice { first, later },
            70..80 => Behaviour::CloseAfter { first, later },
            80..90 => Behaviour::BreakOff { first, events },
            90..95 => Behaviour::Decline {
                never_ran: events > 3,
            },
            _ => Behaviour::Silent,
        }
    }
}

/// A running server.
pub struct Server {
    pub address: SocketAddr,
    thread: JoinHandle<()>,
}

impl Server {
    pub fn start(seed: u64, recorder: Arc<Recorder>, over: Arc<AtomicBool>) -> Server {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port");
        let address = listener.local_addr().expect("its address");
        listener.set_nonblocking(true).expect("not blocking");
        let thread = spawn(move || {
            let mut connections = Vec::new();
            while !over.load(Ordering::Relaxed) {
                let Ok((stream, _)) = listener.accept() else {
                    sleep(Duration::from_millis(1));
                    continue;
                };
                let seed = seed.wrapping_add(connections.len() as u64 * 7919);
                let (recorder, over) = (recorder.clone(), over.clone());
                connections.push(spawn(move || serve(stream, seed, &recorder, &over)));
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

fn serve(stream: TcpStream, seed: u64, recorder: &Recorder, over: &AtomicBool) {
    let _ = stream.set_nonblocking(false);
    let mut rng = StdRng::seed_from_u64(seed);
    let mut connection = Connection::new(stream);
    while !over.load(Ordering::Relaxed) {
        match connection.message(Instant::now() + LOOK) {
            Ok(message) if message.whole => {
                let behaviour = Behaviour::draw(&mut rng);
                if !answer(&mut connection, &message, behaviour, recorder) {
                    return;
                }
            }
            Err(Progress::Silent) => {}
            // a request that is cut short has not run
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
    let told = request
        .head
        .get("x-expires-in-ms")
        .and_then(|ms| ms.parse().ok())
        .unwrap_or_default();
    let attempt = recorder.begin(Attempt {
        id: id.clone(),
        began: recorder.at(request.began),
        told: Duration::from_millis(told),
        over: Duration::MAX,
        end: AttemptEnd::GivenUp,
    });
    let (end, open) = act(connection, &id, behaviour);
    recorder.end(attempt, end, Instant::now());
    if let (true, Behaviour::Twice { later, .. }) = (open, behaviour) {
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

/// What becomes of the attempt, and whether the connection stays open.
fn act(connection: &mut Connection, id: &str, behaviour: Behaviour) -> (AttemptEnd, bool) {
    let (first, count) = match behaviour {
        Behaviour::Answer { first, events } | Behaviour::BreakOff { first, events } => {
            (first, events)
        }
        Behaviour::Twice { first, .. } | Behaviour::CloseAfter { first, .. } => (first, 2),
        Behaviour::Decline { .. } => (Duration::ZERO, 0),
        Behaviour::Silent => (SILENCE, 0),
    };
    if !rest(connection, first) {
        return (AttemptEnd::GivenUp, false);
    }
    match behaviour {
        Behaviour::Silent => (AttemptEnd::Declined, false),
        Behaviour::Decline { never_ran } => {
            let head = if never_ran {
                "503 Service Unavailable\r\nX-Never-Ran: 1"
            } else {
                "500 Error"
            };
            let open = write(
                connection,
                &format!("HTTP/1.1 {head}\r\nContent-Length: 2\r\n\r\nno"),
            );
            (AttemptEnd::Declined, open)
        }
        Behaviour::BreakOff { events: 0, .. } => (AttemptEnd::Declined, false),
        _ => {
            for n in 0..count {
                let text = if n == 0 {
                    [STREAM, &events(id, 1)].concat()
                } else {
                    events(id, 1)
                };
                if !write(connection, &text) || !rest(connection, Duration::from_millis(3)) {
                    return (AttemptEnd::GivenUp, false);
                }
            }
            if matches!(behaviour, Behaviour::BreakOff { .. }) {
                return (AttemptEnd::CutByServer, false);
            }
            let whole = write(connection, "e\r\ndata: [DONE]\n\n\r\n0\r\n\r\n");
            (
                if whole {
                    AttemptEnd::Whole
                } else {
                    AttemptEnd::GivenUp
                },
                whole,
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

/// Waits; whether the router is still there.
fn rest(connection: &mut Connection, long: Duration) -> bool {
    let until = Instant::now() + long;
    while Instant::now() < until {
        match connection.read(until) {
            Progress::Silent => return true,
            Progress::More => {}
            Progress::Closed | Progress::Reset => return false,
        }
    }
    true
}
