//! Teachers of one class hand in class sets whose tokens the class's budget does not cover.

use std::process::Command;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use stand_ins::case::{Case, Verdict};
use stand_ins::http;
use stand_ins::json;
use stand_ins::model_server::{ModelServer, Options};
use stand_ins::platform::{self, MemoryLimit};
use stand_ins::router::{Router, free_address};

/// The class sets, and the lines of each: the size that the brief names.
const SETS: usize = 2;
const LINES: usize = 5000;
/// Characters of the beginning that the lines of a set share (1,200 tokens), and of the answer that
/// each line adds (1,900 tokens): both within the brief's ranges.
const SHARED_CHARS: usize = 4800;
const OWN_CHARS: usize = 7600;
/// The class's tokens a day: `deploy/edge.toml` has this figure for its class. Without the
/// disruption the budget covers both sets.
const TOKENS_A_DAY: u64 = 200_000;
const AMPLE_TOKENS_A_DAY: u64 = 900_000_000;
/// How long the case watches the router after the sets were handed in.
const WATCH: Duration = Duration::from_secs(40);
const PATIENCE: Duration = Duration::from_secs(20);

fn main() {
    let case = Case::begin();
    let servers: Vec<ModelServer> = (0..3).map(|number| model_server(&case, number)).collect();
    let batch = free_address();
    let key = write_files(&case, &servers, &batch);
    let options = format!(
        "--batch {} --edge {}",
        case.file("batch.toml").display(),
        case.file("edge.toml").display()
    );
    let router = Arc::new(Router::start(&case, &options));
    let memory = MemoryLimit::watch(&case, &router);
    let students = platform::students(&case, &router);
    let ids: Vec<Option<String>> = (0..SETS)
        .map(|set| hand_in(&case, &batch, &key, set))
        .collect();
    let handed_in = Instant::now();
    let mut last = String::new();
    while handed_in.elapsed() < WATCH && !memory.was_exceeded() {
        thread::sleep(Duration::from_millis(500));
        let counts: Vec<String> = ids
            .iter()
            .flatten()
            .map(|id| state(&batch, &key, id))
            .collect();
        let text = format!("batches: {}", counts.join("; "));
        if text != last {
            case.note(format!("{text}; memory {:?} KiB", router.memory_kib()));
            last = text;
        }
    }
    // students ask on for a moment: what they get after the kill shows in the record
    thread::sleep(Duration::from_secs(2));
    let lines: usize = servers.iter().map(ModelServer::received_count).sum();
    case.note(format!("requests that reached model servers: {lines}"));
    case.note(students.summary());
    case.note(memory.summary());
    if ids.iter().any(Option::is_none) && !memory.was_exceeded() {
        case.give_up("a class set was not accepted");
    }
    if memory.was_exceeded() {
        case.end(Verdict::Broken);
    }
    if router.has_ended() {
        case.note(format!("the router ended by itself: {}", router.log()));
        case.end(Verdict::Broken);
    }
    case.end(Verdict::Held)
}

fn model_server(case: &Case, number: usize) -> ModelServer {
    let options = Options {
        name: format!("s{number}"),
        models: vec!["hint-small".into(), "marker-large".into()],
        first_token: Duration::from_millis(30),
        tokens: 20,
        token_interval: Duration::from_millis(5),
    };
    ModelServer::start(options).unwrap_or_else(|error| case.give_up(error))
}

/// Writes the router's files, and returns the class's key.
fn write_files(case: &Case, servers: &[ModelServer], batch: &str) -> String {
    case.write("hosts.csv", &platform::inventory(servers));
    let spool = case.file("spool");
    case.write(
        "batch.toml",
        &format!(
            "listen = \"{batch}\"\nspool = {spool:?}\ninventory = \"hosts.csv\"\nclass = \"batch-mark\"\nwindow = 16\n"
        ),
    );
    let tokens = if case.trouble {
        TOKENS_A_DAY
    } else {
        AMPLE_TOKENS_A_DAY
    };
    case.note(format!(
        "budget of the class lakes/north/7b: {tokens} tokens a day"
    ));
    case.write(
        "edge.toml",
        &format!(
            "keys = \"keys.toml\"\nzone = \"America/New_York\"\nslice = 256\n\
             [[model]]\nname = \"hint-small\"\nwindow = 8192\nmax_answer = 1024\nclass = \"hint\"\n\
             [[model]]\nname = \"marker-large\"\nwindow = 32768\nmax_answer = 4096\nfallback = \"hint-small\"\nclass = \"batch-mark\"\n\
             [[node]]\npath = \"lakes\"\n[[node]]\npath = \"lakes/north\"\n\
             [[node]]\npath = \"lakes/north/7b\"\nbudgets = [{{ per = \"day\", tokens = {tokens} }}]\n"
        ),
    );
    let command = Command::new(case.root.join("target/release/stilespan"))
        .args(["key", "new", "k7b", "lakes/north/7b"])
        .output();
    let output = command.unwrap_or_else(|error| case.give_up(error));
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    case.write("keys.toml", &text);
    let key = text.split_whitespace().find(|word| word.starts_with("sk-"));
    key.unwrap_or_else(|| case.give_up("no key was made"))
        .to_string()
}

/// Uploads a class set and creates its batch. Returns the batch's id.
fn hand_in(case: &Case, batch: &str, key: &str, set: usize) -> Option<String> {
    let shared = "Mark the answer below. ".repeat(SHARED_CHARS / 23);
    let lines: Vec<String> = (0..LINES)
        .map(|line| {
            let own = format!("answer {line} of set {set} ").repeat(OWN_CHARS / 22);
            format!(
                "{{\"custom_id\":\"pupil-{line}\",\"method\":\"POST\",\"url\":\"/v1/chat/completions\",\"body\":{{\"model\":\"marker-large\",\"max_tokens\":100,\
                 \"messages\":[{{\"role\":\"system\",\"content\":\"{shared}\"}},{{\"role\":\"user\",\"content\":\"{own}\"}}]}}}}\n"
            )
        })
        .collect();
    let form = platform::form(&lines.concat());
    let authorization = format!("Authorization: Bearer {key}\r\n");
    let head = format!("{}{authorization}", platform::UPLOAD);
    let uploaded = http::call(batch, PATIENCE, &head, form.as_bytes());
    let file = match uploaded {
        Ok(answer) if answer.status == 200 => json::text(&answer.text(), "id")?,
        other => {
            case.note(format!("teacher {set}: upload: {other:?}"));
            return None;
        }
    };
    let body = format!(
        "{{\"input_file_id\":\"{file}\",\"endpoint\":\"/v1/chat/completions\",\"completion_window\":\"24h\"}}"
    );
    let head = format!("POST /v1/batches HTTP/1.1\r\n{authorization}");
    let created = http::call(batch, PATIENCE, &head, body.as_bytes());
    let id = created.ok().filter(|answer| answer.status == 200);
    let id = id.and_then(|answer| json::text(&answer.text(), "id"));
    case.note(format!(
        "teacher {set}: a set of {LINES} lines, {} bytes, was accepted as {id:?}",
        form.len()
    ));
    id
}

fn state(batch: &str, key: &str, id: &str) -> String {
    let head = format!("GET /v1/batches/{id} HTTP/1.1\r\nAuthorization: Bearer {key}\r\n");
    match http::call(batch, Duration::from_secs(5), &head, b"") {
        Ok(answer) => {
            let text = answer.text();
            let count = |name: &str| json::number(&text, name).unwrap_or(0);
            format!(
                "{} completed {} failed {} of {}",
                json::text(&text, "status").unwrap_or_default(),
                count("completed"),
                count("failed"),
                count("total")
            )
        }
        Err(error) => format!("no answer ({error})"),
    }
}
