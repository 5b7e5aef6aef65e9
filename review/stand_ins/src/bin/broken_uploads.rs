//! Teachers hand in class sets over links that drop an upload halfway. Each sends its set again,
//! collects the marks and deletes its files.

use std::io::Write;
use std::net::Shutdown;
use std::time::{Duration, Instant};

use stand_ins::case::{Case, Verdict};
use stand_ins::http::{self, Client, Response};
use stand_ins::json;
use stand_ins::model_server::{ModelServer, Options};
use stand_ins::platform;
use stand_ins::router::{Router, free_address};

/// How many teachers hand in, one after the other.
const TEACHERS: usize = 300;
const LINES: usize = 5;
/// The time in which a batch has to be complete, as its creator asks for it.
const WINDOW: Duration = Duration::from_secs(20);
/// How long the case waits beyond that.
const SLACK: Duration = Duration::from_secs(10);
const PATIENCE: Duration = Duration::from_secs(5);

/// What became of a teacher's class set.
enum Outcome {
    Marked,
    /// The upload or the batch was refused: the teacher may try again later, and nothing is owed.
    Refused(u16),
    /// The batch was accepted, and its result file does not hold one outcome for each line.
    Lost(String),
}

fn main() {
    let case = Case::begin();
    let servers: Vec<ModelServer> = (0..3).map(|number| model_server(&case, number)).collect();
    let batch = free_address();
    case.write("hosts.csv", &platform::inventory(&servers));
    // the limits of deploy/batch.toml
    let spool = case.file("spool");
    let options = case.write(
        "batch.toml",
        &format!(
            "listen = \"{batch}\"\nspool = {spool:?}\ninventory = \"hosts.csv\"\nclass = \"batch-mark\"\nwindow = 16\n\
             [limits]\nfile_mb = 100\nspool_mb = 1024\nfiles = 256\nlines = 50000\nline_kb = 256\nbatches = 128\nwindow_s = 604800\n"
        ),
    );
    let router = Router::start(&case, &format!("--batch {}", options.display()));
    let (mut marked, mut refused, mut lost) = (0, 0, 0);
    for teacher in 0..TEACHERS {
        if case.trouble {
            drop_upload(&case, &batch, teacher);
        }
        match hand_in(&case, &batch, teacher) {
            Outcome::Marked => marked += 1,
            Outcome::Refused(status) => {
                refused += 1;
                if refused == 1 {
                    case.note(format!(
                        "teacher {teacher}: the set was refused with {status}"
                    ));
                }
            }
            Outcome::Lost(what) => {
                lost += 1;
                case.note(format!("teacher {teacher}: {what}"));
            }
        }
        if router.has_ended() {
            case.note(format!("the router ended: {}", router.log()));
            lost += 1;
        }
        if lost > 0 {
            break;
        }
    }
    let files = http::call(
        &batch,
        PATIENCE,
        "GET /v1/files?limit=100 HTTP/1.1\r\n",
        b"",
    );
    if let Ok(files) = files {
        let text = files.text();
        case.note(format!(
            "files that the router lists on the first page of 100: {}, of them incomplete: {}; more pages: {}",
            text.matches("\"object\":\"file\"").count(),
            text.matches("\"status\":\"uploaded\"").count(),
            text.contains("\"has_more\":true")
        ));
    }
    let requests: usize = servers.iter().map(ModelServer::received_count).sum();
    case.note(format!(
        "sets marked {marked}, refused {refused}, accepted and lost {lost}; requests at model servers {requests}"
    ));
    case.end(if lost > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

fn model_server(case: &Case, number: usize) -> ModelServer {
    let options = Options {
        name: format!("s{number}"),
        models: Vec::new(),
        first_token: Duration::from_millis(5),
        tokens: 4,
        token_interval: Duration::from_millis(1),
    };
    ModelServer::start(options).unwrap_or_else(|error| case.give_up(error))
}

/// The form with a teacher's class set.
fn form(teacher: usize) -> String {
    let lines: Vec<String> = (0..LINES)
        .map(|line| {
            platform::line(
                line,
                &format!("answer {line} of class {teacher} ").repeat(100),
            )
        })
        .collect();
    platform::form(&lines.concat())
}

/// Sends half of an upload; then the link drops.
fn drop_upload(case: &Case, batch: &str, teacher: usize) {
    let form = form(teacher);
    let sent = Client::connect(batch, PATIENCE).and_then(|mut client| {
        let head = format!(
            "{}Host: service.internal\r\nContent-Length: {}\r\n\r\n",
            platform::UPLOAD,
            form.len()
        );
        client.stream.write_all(head.as_bytes())?;
        client
            .stream
            .write_all(&form.as_bytes()[..form.len() / 2])?;
        // what was sent arrives ahead of the drop
        std::thread::sleep(Duration::from_millis(10));
        client.stream.shutdown(Shutdown::Both)
    });
    if let Err(error) = sent {
        case.give_up(format!(
            "teacher {teacher}: the upload could not be begun: {error}"
        ));
    }
}

/// Uploads a set, has it marked, collects the marks and deletes both files.
fn hand_in(case: &Case, batch: &str, teacher: usize) -> Outcome {
    let call = |head: &str, body: &[u8]| -> Response {
        http::call(batch, PATIENCE, head, body)
            .unwrap_or_else(|error| case.give_up(format!("teacher {teacher}: {head:?}: {error}")))
    };
    let uploaded = call(platform::UPLOAD, form(teacher).as_bytes());
    if uploaded.status != 200 {
        return Outcome::Refused(uploaded.status);
    }
    let file = json::text(&uploaded.text(), "id").unwrap_or_default();
    let body = format!(
        "{{\"input_file_id\":\"{file}\",\"endpoint\":\"/v1/chat/completions\",\"completion_window\":\"{}s\"}}",
        WINDOW.as_secs()
    );
    let created = call("POST /v1/batches HTTP/1.1\r\n", body.as_bytes());
    if created.status != 200 {
        return Outcome::Refused(created.status);
    }
    let id = json::text(&created.text(), "id").unwrap_or_default();
    let accepted = Instant::now();
    let path = format!("GET /v1/batches/{id} HTTP/1.1\r\n");
    let ended = loop {
        let text = call(&path, b"").text();
        let status = json::text(&text, "status").unwrap_or_default();
        if ["completed", "failed", "expired", "cancelled"].contains(&status.as_str()) {
            break text;
        }
        if accepted.elapsed() > WINDOW + SLACK {
            return Outcome::Lost(format!(
                "batch {id} was accepted and is {status} {} s after; its window was {} s: {text}",
                accepted.elapsed().as_secs(),
                WINDOW.as_secs()
            ));
        }
        std::thread::sleep(Duration::from_millis(
            if accepted.elapsed().as_millis() < 200 {
                5
            } else {
                250
            },
        ));
    };
    let Some(output) = json::text(&ended, "output_file_id") else {
        return Outcome::Lost(format!(
            "batch {id} was accepted and ended after {} s with no result file: {ended}",
            accepted.elapsed().as_secs()
        ));
    };
    let content = call(&format!("GET /v1/files/{output}/content HTTP/1.1\r\n"), b"").text();
    let outcomes: Vec<usize> = (0..LINES)
        .map(|line| {
            content
                .matches(&format!("\"custom_id\":\"pupil-{line}\""))
                .count()
        })
        .collect();
    if outcomes != vec![1; LINES] {
        return Outcome::Lost(format!("batch {id}: outcomes of its lines: {outcomes:?}"));
    }
    for file in [file, output] {
        call(&format!("DELETE /v1/files/{file} HTTP/1.1\r\n"), b"");
    }
    if teacher.is_multiple_of(50) {
        case.note(format!(
            "teacher {teacher}: marked, marks collected, files deleted"
        ));
    }
    Outcome::Marked
}
