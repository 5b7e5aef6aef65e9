//! One of each: `make demo` starts two fake model servers and the router with all fronts, asks
//! for a streamed answer, hands in a class set, is refused for its budget, looks at that budget,
//! and ends everything.
//!
//! Everything stays on loopback addresses and in a folder of its own, which is removed.
#![forbid(unsafe_code)]

use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use fake_servers::{ModelServer, RequestLog, ServerOptions};
use serde_json::{Value, json};
use stilespan::net::http::{Buffer, read_response};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// The key of examples/keys.toml; it is good for this demonstration alone.
const KEY: &str = "sk-demo-bGFrZXMtbm9ydGgtN2ItZXhhbXBsZS1rZXktMDAwMDA";

type Failed = Box<dyn std::error::Error>;

/// The router's process and its folder; both end with the demonstration, however that ends.
struct Running(Child, PathBuf);

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
        let _ = std::fs::remove_dir_all(&self.1);
    }
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> Result<(), Failed> {
    let program = std::env::args()
        .nth(1)
        .unwrap_or_else(|| "target/release/stilespan".into());
    let tally = RequestLog::default();
    let spec = |name: &str, models: &[&str]| ServerOptions {
        name: name.into(),
        models: models.iter().map(|m| m.to_string()).collect(),
        first_token_delay: Duration::from_millis(40),
        token_interval: Duration::from_millis(10),
        answer_tokens: 12,
        ..ServerOptions::default()
    };
    let fast = ModelServer::start(spec("fast-1", &["hint"]), tally.clone()).await?;
    let old = ModelServer::start(spec("old-1", &["hint", "marker"]), tally.clone()).await?;
    println!("two fake model servers: fast-1 has hint, old-1 has hint and marker\n");

    let folder = std::env::temp_dir().join(format!("stilespan-demo-{}", std::process::id()));
    std::fs::create_dir_all(&folder)?;
    let hosts = format!(
        "name,address,models\nfast-1,{},hint\nold-1,{},hint marker\n",
        fast.address, old.address
    );
    std::fs::write(folder.join("hosts.csv"), hosts)?;
    let batch = format!(
        "listen = \"127.0.0.1:0\"\nspool = {:?}\ninventory = \"hosts.csv\"\n",
        folder.join("spool")
    );
    std::fs::write(folder.join("batch.toml"), batch)?;
    let (mut router, platform, own) = start(&program, &folder)?;
    println!("the router: platform's front on {platform}, our own API on {own}\n");
    tokio::time::sleep(Duration::from_millis(500)).await;

    let chat = |model: &str, content: &str, more: Value| {
        let mut body = json!({"model": model, "messages": [{"role": "user", "content": content}]});
        for (name, value) in more.as_object().into_iter().flatten() {
            body[name] = value.clone();
        }
        body.to_string()
    };
    println!("--- a request of the platform's protocol, streamed");
    let head = "X-Trace-Id: demo-1\r\nX-Qos: hint\r\nX-Expires-In-Ms: 1500\r\nX-Props: prompt_len=8,max_out=12\r\n";
    let body = chat(
        "hint",
        "How do I add two fractions?",
        json!({"stream": true, "max_tokens": 12}),
    );
    show(
        &call(&platform, "POST", "/v1/chat/completions", head, &body).await?,
        3,
    );

    println!("--- the same model by our own API, streamed, with a key");
    let key = format!("Authorization: Bearer {KEY}\r\n");
    let body = chat(
        "hint",
        "How do I add two fractions?",
        json!({"stream": true, "max_tokens": 12}),
    );
    show(
        &call(&own, "POST", "/v1/chat/completions", &key, &body).await?,
        3,
    );

    println!("--- a class set of three answers, as a batch");
    let line = |k: u32| {
        let body: Value =
            serde_json::from_str(&chat("mark", "Mark this.", json!({"max_tokens": 5})))
                .unwrap_or_default();
        json!({"custom_id": format!("pupil-{k}"), "method": "POST", "url": "/v1/chat/completions", "body": body})
    };
    let set: String = (1..=3).map(|k| format!("{}\n", line(k))).collect();
    let form = format!(
        "--XX\r\nContent-Disposition: form-data; name=\"purpose\"\r\n\r\nbatch\r\n--XX\r\n\
         Content-Disposition: form-data; name=\"file\"; filename=\"set.jsonl\"\r\n\r\n{set}\r\n--XX--\r\n"
    );
    let kind = format!("{key}Content-Type: multipart/form-data; boundary=XX\r\n");
    let file = json_of(&call(&own, "POST", "/v1/files", &kind, &form).await?)?;
    let order = json!({"input_file_id": file["id"], "endpoint": "/v1/chat/completions", "completion_window": "1h"});
    let mut set = json_of(&call(&own, "POST", "/v1/batches", &key, &order.to_string()).await?)?;
    let path = format!("/v1/batches/{}", set["id"].as_str().unwrap_or_default());
    let begun = Instant::now();
    while set["status"] != "completed" {
        if begun.elapsed() > Duration::from_secs(20) {
            return Err(format!("the class set did not end: {set}").into());
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
        set = json_of(&call(&own, "GET", &path, &key, "").await?)?;
    }
    let result = format!(
        "/v1/files/{}/content",
        set["output_file_id"].as_str().unwrap_or_default()
    );
    show(&call(&own, "GET", &result, &key, "").await?, 3);

    println!("--- a request that is larger than what the class has left this hour");
    let body = chat(
        "hint",
        "Now a long one, please.",
        json!({"max_tokens": 390}),
    );
    let refused = call(&own, "POST", "/v1/chat/completions", &key, &body).await?;
    show(&refused, 3);
    println!("--- and the budget that refused it");
    let table = Command::new(&program)
        .args(["budgets", "--at", &own])
        .env("STILESPAN_KEY", KEY)
        .output()?;
    println!("{}", String::from_utf8_lossy(&table.stdout));

    let ended = Command::new("kill")
        .args(["-TERM", &router.0.id().to_string()])
        .status()?;
    let status = router.0.wait()?;
    println!("--- SIGTERM: the router answered all that it had taken and ended with {status}");
    let fine = ended.success() && status.success() && refused.starts_with("HTTP/1.1 429");
    if fine {
        Ok(())
    } else {
        Err("something above is not as it should be".into())
    }
}

/// Starts the router; it is ready once both fronts say where they listen.
fn start(program: &str, folder: &Path) -> Result<(Running, String, String), Failed> {
    let mut child = Command::new(program)
        .args([
            "serve",
            "--config",
            "examples/config.json",
            "--edge",
            "examples/edge.toml",
            "--batch",
        ])
        .arg(folder.join("batch.toml"))
        .env("GW_LISTEN", "127.0.0.1:0")
        .env_remove("GW_CONFIG")
        .env_remove("GW_DISCOVERY")
        .stderr(Stdio::piped())
        .spawn()?;
    let log = child.stderr.take();
    let running = Running(child, folder.to_path_buf());
    let mut lines = BufReader::new(log.ok_or("no log")?).lines();
    let (mut platform, mut own) = (None, None);
    while platform.is_none() || own.is_none() {
        let line = lines.next().ok_or("the router ended at its start")??;
        let after = |what: &str| line.split_once(what).map(|(_, at)| at.trim().to_string());
        platform = platform.or(after("serving on "));
        own = own.or(after("batch front on "));
    }
    // read on, so that the router never waits for its log
    std::thread::spawn(move || lines.for_each(drop));
    Ok((
        running,
        platform.unwrap_or_default(),
        own.unwrap_or_default(),
    ))
}

/// Asks once; the answer's status line, headers and body as text.
async fn call(
    at: &str,
    method: &str,
    path: &str,
    headers: &str,
    body: &str,
) -> Result<String, Failed> {
    let mut stream = TcpStream::connect(at).await?;
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: {at}\r\n{headers}Connection: close\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(text.as_bytes()).await?;
    let (head, body) = read_response(&mut Buffer::default(), &mut stream, 1 << 20).await?;
    let mut out = format!("HTTP/1.1 {}\n", head.status);
    let telling = |name: &str| {
        ["x-", "ratelimit", "retry-after"]
            .iter()
            .any(|n| name.starts_with(n))
    };
    for (name, value) in head.headers.iter().filter(|l| telling(&l.0)) {
        out.push_str(&format!("{name}: {value}\n"));
    }
    Ok(format!("{out}\n{}", String::from_utf8_lossy(&body)))
}

fn json_of(answer: &str) -> Result<Value, Failed> {
    let body = answer.split_once("\n\n").map_or("", |(_, body)| body);
    Ok(serde_json::from_str(body).map_err(|e| format!("{e}: {answer}"))?)
}

/// Prints an answer's head and the first and last lines of its body.
fn show(answer: &str, most: usize) {
    let (head, body) = answer.split_once("\n\n").unwrap_or((answer, ""));
    println!("{head}");
    let lines: Vec<&str> = body.lines().filter(|l| !l.is_empty()).collect();
    let last = lines.len().saturating_sub(1).max(most);
    for line in lines.iter().take(most).chain(lines.iter().skip(last)) {
        println!("  {}", line.chars().take(160).collect::<String>());
    }
    println!();
}
