//! Case 10: a batch whose model has no server keeps all other batches from running.

use std::net::SocketAddr;
use std::thread::sleep;
use std::time::{Duration, Instant};

use stand_ins_2::http::{json_number, json_text};
use stand_ins_2::router::free_address;
use stand_ins_2::{Case, Launch, ModelServer, Platform, Verdict, call};

const LINES: u64 = 40;
/// The completion window of the batch that is watched, in seconds.
const WINDOW_S: u64 = 45;

const EDGE: &str = r#"ask_models_s = 0.0
[[model]]
name = "marker-large"
window = 32768
max_answer = 4096
class = "batch-mark"
[[model]]
name = "hint-small"
window = 8192
max_answer = 1024
class = "hint"
"#;

fn main() {
    Case::open().run(run);
}

fn run(case: &Case) -> Result<Verdict, String> {
    let small = ModelServer::start(case, "card-small", "127.0.0.1:0", 3)?;
    let large = ModelServer::start(case, "card-large", "127.0.0.1:0", 3)?;
    let mut platform = Platform::new(case, "starved-batch")?;
    let api = free_address()?;
    let write = |name: &str, text: String| {
        std::fs::write(platform.path(name), text).map_err(|e| e.to_string())
    };
    write("batch.toml", format!("listen = \"{api}\"\nspool = \"spool\"\nclass = \"batch-mark\"\nwindow = 16\n"))?;
    write("edge.toml", EDGE.into())?;
    write(
        "fleet.csv",
        format!(
            "name,address,models\ncard-small,{},hint-small\ncard-large,{},marker-large\n",
            small.address, large.address
        ),
    )?;
    let path = |name: &str| platform.path(name).display().to_string();
    let arguments = format!(
        "--batch {} --edge {} --inventory {}",
        path("batch.toml"),
        path("edge.toml"),
        path("fleet.csv")
    );
    let launch = Launch {
        arguments,
        ..Launch::default()
    };
    let mut router = platform.start(&launch)?;
    router.wait_ready(Duration::from_secs(10))?;
    if case.trouble {
        let reply = router.operate("POST", "/model-servers/disable?name=card-large")?;
        if reply.status != 200 {
            return Err("the model server was not taken out".into());
        }
    }
    let large_batch = hand_in(case, api, "marker-large", "24h")?;
    sleep(Duration::from_secs(1));
    let small_batch = hand_in(case, api, "hint-small", &format!("{WINDOW_S}s"))?;
    let end = Instant::now() + Duration::from_secs(WINDOW_S + 10);
    let mut object = String::new();
    while Instant::now() < end {
        object = call(api, "GET", &format!("/v1/batches/{small_batch}"), "", b"")?.text;
        let status = json_text(&object, "status").unwrap_or_default();
        if !matches!(status.as_str(), "validating" | "in_progress") {
            break;
        }
        sleep(Duration::from_millis(200));
    }
    case.say(&format!("the small model's batch: {object}"));
    let other = call(api, "GET", &format!("/v1/batches/{large_batch}"), "", b"")?.text;
    case.say(&format!("the large model's batch: {other}"));
    let run = small.seen().len() as u64;
    case.say(&format!("lines that reached the small model's server, idle all the time: {run} of {LINES}"));
    if let Some(file) = json_text(&object, "output_file_id") {
        let outcomes = call(api, "GET", &format!("/v1/files/{file}/content"), "", b"")?.text;
        for outcome in outcomes.lines() {
            case.note(&format!("outcome: {outcome}"));
        }
    }
    let completed = json_number(&object, "completed").unwrap_or(0);
    router.signal("TERM");
    router.wait_end(Duration::from_millis(3700));
    Ok(if completed == LINES && run == LINES {
        Verdict::Held
    } else {
        Verdict::Broken
    })
}

/// Hands in a class set for a model; returns the batch's id.
fn hand_in(case: &Case, api: SocketAddr, model: &str, window: &str) -> Result<String, String> {
    let lines: String = (1..=LINES)
        .map(|number| {
            format!(
                "{{\"custom_id\":\"pupil-{number}\",\"method\":\"POST\",\"url\":\"/v1/chat/completions\",\"body\":{{\"model\":\"{model}\",\"max_tokens\":40,\"messages\":[{{\"role\":\"user\",\"content\":\"Mark the answer of pupil {number}.\"}}]}}}}\n"
            )
        })
        .collect();
    let form = format!(
        "--set\r\nContent-Disposition: form-data; name=\"purpose\"\r\n\r\nbatch\r\n--set\r\nContent-Disposition: form-data; name=\"file\"; filename=\"set.jsonl\"\r\n\r\n{lines}\r\n--set--\r\n"
    );
    let form_type = "Content-Type: multipart/form-data; boundary=set\r\n";
    let file = call(api, "POST", "/v1/files", form_type, form.as_bytes())?;
    let id = json_text(&file.text, "id").ok_or(format!("no file: {}", file.text))?;
    let request = format!(
        "{{\"input_file_id\":\"{id}\",\"endpoint\":\"/v1/chat/completions\",\"completion_window\":\"{window}\"}}"
    );
    let batch = call(api, "POST", "/v1/batches", "", request.as_bytes())?;
    case.note(&format!("teacher: a set of {LINES} for {model}, window {window}: {} {}", batch.status, batch.text));
    json_text(&batch.text, "id").ok_or(format!("no batch: {}", batch.text))
}
