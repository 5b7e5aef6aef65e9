//! Bad clients send 60 MB bodies that can't be read to the front for files, beside students who ask
//! for hints and a teacher whose class set is being marked.

use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use stand_ins::case::{Case, Verdict};
use stand_ins::http::{self, Client};
use stand_ins::json;
use stand_ins::model_server::{ModelServer, Options};
use stand_ins::platform::{self, MemoryLimit};
use stand_ins::router::{Router, free_address};

/// Bad clients at a time; the pages have them in their hundreds.
const BAD_CLIENTS: usize = 40;
/// What each has to send.
const BODY_BYTES: usize = 60 << 20;
/// How long a client with 60 MB to send may wait for its error or a close.
const OWED_WITHIN: Duration = Duration::from_secs(6);
const LINES: usize = 400;
const WATCH: Duration = Duration::from_secs(30);
const PATIENCE: Duration = Duration::from_secs(20);

fn main() {
    let case = Case::begin();
    let servers: Vec<ModelServer> = (0..3).map(|number| model_server(&case, number)).collect();
    let batch = free_address();
    case.write("hosts.csv", &platform::inventory(&servers));
    let spool = case.file("spool");
    let options = case.write(
        "batch.toml",
        &format!(
            "listen = \"{batch}\"\nspool = {spool:?}\ninventory = \"hosts.csv\"\nclass = \"batch-mark\"\nwindow = 16\n"
        ),
    );
    let router = Arc::new(Router::start(
        &case,
        &format!("--batch {}", options.display()),
    ));
    let memory = MemoryLimit::watch(&case, &router);
    let students = platform::students(&case, &router);
    let set = hand_in(&case, &batch);
    thread::sleep(Duration::from_secs(1));
    let stop = Arc::new(AtomicBool::new(false));
    let (answered, late) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let clients: Vec<_> = (0..BAD_CLIENTS)
        .map(|_| {
            let (case, batch, stop) = (case.clone(), batch.clone(), stop.clone());
            let (answered, late) = (answered.clone(), late.clone());
            thread::spawn(move || {
                let begun = Instant::now();
                let in_time =
                    send_body(&case, &batch, &stop).is_some_and(|_| begun.elapsed() <= OWED_WITHIN);
                let counter = if in_time { answered } else { late };
                counter.fetch_add(1, Ordering::SeqCst);
            })
        })
        .collect();
    let begun = Instant::now();
    while begun.elapsed() < WATCH
        && !memory.was_exceeded()
        && !clients.iter().all(|c| c.is_finished())
    {
        thread::sleep(Duration::from_millis(100));
    }
    if !memory.was_exceeded() {
        // what the clients have sent is let go of, or not
        thread::sleep(Duration::from_secs(3));
    }
    stop.store(true, Ordering::SeqCst);
    if let Some(id) = &set {
        let state = http::call(
            &batch,
            PATIENCE,
            &format!("GET /v1/batches/{id} HTTP/1.1\r\n"),
            b"",
        );
        case.note(format!(
            "teacher's batch: {:?}",
            state.map(|answer| answer.text())
        ));
    }
    thread::sleep(Duration::from_secs(2));
    case.note(format!(
        "bad clients with an answer or a close within 6 s: {}, later or none: {}",
        answered.load(Ordering::SeqCst),
        late.load(Ordering::SeqCst)
    ));
    case.note(students.summary());
    case.note(memory.summary());
    if set.is_none() {
        case.give_up("the teacher's class set was not accepted");
    }
    if memory.was_exceeded() || router.has_ended() {
        case.end(Verdict::Broken);
    }
    case.end(Verdict::Held)
}

fn model_server(case: &Case, number: usize) -> ModelServer {
    let options = Options {
        name: format!("s{number}"),
        models: Vec::new(),
        first_token: Duration::from_millis(30),
        tokens: 20,
        token_interval: Duration::from_millis(5),
    };
    ModelServer::start(options).unwrap_or_else(|error| case.give_up(error))
}

/// Sends a body to the front for files. With the disruption it holds no form; without it, it is a
/// form with a file of the same size. Returns the status of the answer.
fn send_body(case: &Case, batch: &str, stop: &AtomicBool) -> Option<u16> {
    let mut client = Client::connect(batch, PATIENCE).ok()?;
    let head = format!(
        "POST /v1/files HTTP/1.1\r\nHost: service.internal\r\nContent-Type: multipart/form-data; boundary=XX\r\nContent-Length: {BODY_BYTES}\r\n\r\n"
    );
    client.stream.write_all(head.as_bytes()).ok()?;
    let opening = "--XX\r\nContent-Disposition: form-data; name=\"purpose\"\r\n\r\nother\r\n--XX\r\nContent-Disposition: form-data; name=\"file\"; filename=\"set.jsonl\"\r\n\r\n";
    let end = "\r\n--XX--\r\n";
    let (opening, end) = if case.trouble {
        ("", "")
    } else {
        (opening, end)
    };
    let filler = vec![b'a'; 64 << 10];
    client.stream.write_all(opening.as_bytes()).ok()?;
    let mut left = BODY_BYTES - opening.len() - end.len();
    while left > 0 && !stop.load(Ordering::SeqCst) {
        let part = left.min(filler.len());
        client.stream.write_all(&filler[..part]).ok()?;
        left -= part;
    }
    client.stream.write_all(end.as_bytes()).ok()?;
    client.response().ok().map(|answer| answer.status)
}

fn hand_in(case: &Case, batch: &str) -> Option<String> {
    let lines: Vec<String> = (0..LINES)
        .map(|line| platform::line(line, &"my answer ".repeat(300)))
        .collect();
    let form = platform::form(&lines.concat());
    let uploaded = http::call(batch, PATIENCE, platform::UPLOAD, form.as_bytes()).ok()?;
    let file = json::text(&uploaded.text(), "id")?;
    let body = format!(
        "{{\"input_file_id\":\"{file}\",\"endpoint\":\"/v1/chat/completions\",\"completion_window\":\"24h\"}}"
    );
    let created = http::call(
        batch,
        PATIENCE,
        "POST /v1/batches HTTP/1.1\r\n",
        body.as_bytes(),
    )
    .ok()?;
    let id = json::text(&created.text(), "id");
    case.note(format!(
        "teacher: a set of {LINES} lines was accepted as {id:?}"
    ));
    id
}
