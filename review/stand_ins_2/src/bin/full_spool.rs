//! Case 10: a batch's completion window ends while the spool is full.

use std::net::SocketAddr;
use std::thread::sleep;
use std::time::{Duration, Instant};

use stand_ins_2::http::{json_number, json_text};
use stand_ins_2::router::free_address;
use stand_ins_2::{Case, Launch, ModelServer, Platform, Verdict, call};

const LINES: u64 = 40;
/// The completion window, in seconds.
const WINDOW_S: u64 = 20;
/// For how long the spool stays full after the window's end.
const FULL_AFTER: Duration = Duration::from_secs(6);
/// The spool's limit (`spool_mb = 1`).
const SPOOL_BYTES: usize = 1 << 20;
/// What the other teacher's file leaves free: a few outcomes.
const LEFT_FREE: usize = 1500;

fn main() {
    Case::open().run(run);
}

fn run(case: &Case) -> Result<Verdict, String> {
    let server = ModelServer::start(case, "card-1", "127.0.0.1:0", 10)?;
    let mut platform = Platform::new(case, "full-spool")?;
    let api = free_address()?;
    let write = |name: &str, text: String| {
        std::fs::write(platform.path(name), text).map_err(|e| e.to_string())
    };
    write(
        "batch.toml",
        format!(
            "listen = \"{api}\"\nspool = \"spool\"\nclass = \"batch-mark\"\nwindow = 4\n[limits]\nfile_mb = 1\nspool_mb = 1\n"
        ),
    )?;
    write(
        "fleet.csv",
        format!("name,address\ncard-1,{}\n", server.address),
    )?;
    let path = |name: &str| platform.path(name).display().to_string();
    let launch = Launch {
        arguments: format!(
            "--batch {} --inventory {}",
            path("batch.toml"),
            path("fleet.csv")
        ),
        ..Launch::default()
    };
    let mut router = platform.start(&launch)?;
    router.wait_ready(Duration::from_secs(10))?;

    let set: String = (1..=LINES)
        .map(|number| {
            format!(
                "{{\"custom_id\":\"pupil-{number}\",\"method\":\"POST\",\"url\":\"/v1/chat/completions\",\"body\":{{\"model\":\"marker\",\"max_tokens\":40,\"messages\":[{{\"role\":\"user\",\"content\":\"Mark the answer of pupil {number}.\"}}]}}}}\n"
            )
        })
        .collect();
    let file = upload(case, api, "the class set", &set)?;
    // the other teacher's file: one blank line of the length that fills the spool
    let mut filler = None;
    if case.trouble {
        let text = " ".repeat(SPOOL_BYTES - set.len() - LEFT_FREE);
        filler = Some(upload(case, api, "another teacher's file", &text)?);
    }
    let request = format!(
        "{{\"input_file_id\":\"{file}\",\"endpoint\":\"/v1/chat/completions\",\"completion_window\":\"{WINDOW_S}s\"}}"
    );
    let batch = call(api, "POST", "/v1/batches", "", request.as_bytes())?;
    case.note(&format!(
        "teacher: the batch is handed in: {} {}",
        batch.status, batch.text
    ));
    let id = json_text(&batch.text, "id").ok_or("no batch")?;
    sleep(Duration::from_secs(WINDOW_S) + FULL_AFTER);
    let look = || call(api, "GET", &format!("/v1/batches/{id}"), "", b"").map(|reply| reply.text);
    case.note(&format!(
        "the batch, {FULL_AFTER:?} after its window: {}",
        look()?
    ));
    if let Some(filler) = filler {
        let deleted = call(api, "DELETE", &format!("/v1/files/{filler}"), "", b"")?;
        case.note(&format!(
            "another teacher's file is deleted: {}",
            deleted.status
        ));
    }
    let end = Instant::now() + Duration::from_secs(25);
    let mut object = look()?;
    while Instant::now() < end {
        object = look()?;
        let status = json_text(&object, "status").unwrap_or_default();
        if !matches!(status.as_str(), "validating" | "in_progress") {
            break;
        }
        sleep(Duration::from_millis(200));
    }
    case.say(&format!("the batch at the end: {object}"));
    let result = json_text(&object, "output_file_id").ok_or("the batch has no result file")?;
    let outcomes = call(api, "GET", &format!("/v1/files/{result}/content"), "", b"")?.text;
    let mut counts = vec![0; LINES as usize + 1];
    for outcome in outcomes.lines() {
        case.note(&format!("outcome: {outcome}"));
        if let Some(count) = json_number(outcome, "line").and_then(|n| counts.get_mut(n as usize)) {
            *count += 1;
        }
    }
    let missing = counts[1..].iter().filter(|&&count| count == 0).count();
    let doubled = counts[1..].iter().filter(|&&count| count > 1).count();
    let ran = server.seen().len();
    case.say(&format!(
        "{LINES} lines, {ran} ran at the model server; lines without an outcome: {missing}, with several: {doubled}"
    ));
    router.signal("TERM");
    router.wait_end(Duration::from_millis(3700));
    Ok(if missing + doubled > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

/// Uploads a file; returns its id.
fn upload(case: &Case, api: SocketAddr, name: &str, text: &str) -> Result<String, String> {
    let form = format!(
        "--set\r\nContent-Disposition: form-data; name=\"purpose\"\r\n\r\nbatch\r\n--set\r\nContent-Disposition: form-data; name=\"file\"; filename=\"set.jsonl\"\r\n\r\n{text}\r\n--set--\r\n"
    );
    let form_type = "Content-Type: multipart/form-data; boundary=set\r\n";
    let file = call(api, "POST", "/v1/files", form_type, form.as_bytes())?;
    case.note(&format!(
        "{name}: {} bytes: {} {}",
        text.len(),
        file.status,
        file.text
    ));
    json_text(&file.text, "id").ok_or(format!("no file: {}", file.text))
}
