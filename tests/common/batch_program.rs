//! The built program with the batch service and the edge, as a child process.
#![allow(dead_code)]

use std::ffi::OsStr;
use std::io::{BufRead, BufReader};
use std::process::{Command, Stdio};

use fake_servers::ModelServer;
use serde_json::{Value, json};
use stilespan::identity;

use super::client::{Client, Got};
use super::folder::Folder;
use super::process::Running;

/// The endpoint of chat requests and of batches.
pub const ENDPOINT: &str = "/v1/chat/completions";

/// The API key of the class `d` in the files of [`write_settings`].
pub fn key() -> String {
    identity::format_key("class", &[7; 32])
}

/// The limit on the program's memory in its configuration. The platform kills a router over it.
pub const MEMORY_LIMIT_MIB: u64 = 64;

/// Writes the program's configuration files. The class may spend `budget_tokens` per term.
pub fn write_settings(folder: &Folder, server: &ModelServer, budget_tokens: u64) {
    let hash = identity::format_hash(&identity::hash_secret(
        identity::split_key(&key()).unwrap().secret,
    ));
    let keys = format!("[[key]]\nid = \"class\"\nnode = \"d\"\nhash = \"{hash}\"\n");
    let hosts = format!("name,address\ns0,{}\n", server.address);
    let spool = folder.path("spool");
    let batch = format!("listen = \"127.0.0.1:0\"\nspool = {spool:?}\ninventory = \"hosts.csv\"\n");
    let files = [
        ("config.json", config()),
        ("edge.toml", edge_file(budget_tokens)),
        ("keys.toml", keys),
        ("hosts.csv", hosts),
        ("batch.toml", batch),
    ];
    for (name, text) in files {
        std::fs::write(folder.path(name), text).unwrap();
    }
}

/// The built-in configuration with a small memory.
fn config() -> String {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/src/config/standalone.json");
    let mut config: Value = serde_json::from_str(&std::fs::read_to_string(path).unwrap()).unwrap();
    config["limits"] = json!({"memory_mb": MEMORY_LIMIT_MIB});
    config.to_string()
}

fn edge_file(budget_tokens: u64) -> String {
    format!(
        "keys = \"keys.toml\"\nterms = [\"2020-01-01\"]\n\
        [[model]]\nname = \"hint\"\nwindow = 100_000\nmax_answer = 100\nclass = \"hint\"\n\
        [[price]]\nmodel = \"hint\"\nprompt = 1_000_000\nanswer = 1_000_000\n\
        [[node]]\npath = \"d\"\nbudgets = [{{ per = \"term\", tokens = {budget_tokens} }}]\n"
    )
}

/// Starts the program with the batch service; returns the process and the service's address. The
/// log is read to its end, so that the program never blocks on writing it.
pub fn start_program<K: AsRef<OsStr>, V: AsRef<OsStr>>(
    folder: &Folder,
    environment: impl IntoIterator<Item = (K, V)>,
) -> (Running, String) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_stilespan"))
        .args(["serve", "--batch"])
        .arg(folder.path("batch.toml"))
        .arg("--config")
        .arg(folder.path("config.json"))
        .arg("--edge")
        .arg(folder.path("edge.toml"))
        .envs(environment)
        .env_remove("GW_CONFIG")
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let mut log = BufReader::new(child.stderr.take().unwrap());
    let child = Running(child);
    let mut line = String::new();
    let address = loop {
        line.clear();
        assert!(
            log.read_line(&mut line).unwrap() > 0,
            "the program ended before the batch service started"
        );
        if let Some((_, address)) = line.trim().split_once("batch front on ") {
            break address.to_string();
        }
    };
    std::thread::spawn(move || log.lines().map_while(Result::ok).count());
    (child, address)
}

/// Sends a request with the class's key.
pub async fn request(
    client: &mut Client,
    method: &str,
    path: &str,
    headers: &str,
    body: &str,
) -> Got {
    let text = format!(
        "{method} {path} HTTP/1.1\r\nAuthorization: Bearer {}\r\n{headers}Content-Length: {}\r\n\r\n{body}",
        key(),
        body.len()
    );
    client.call(text.as_bytes()).await
}

/// The body of a chat request to the program's model.
pub fn chat_body(text: &str) -> Value {
    json!({"model": "hint", "max_tokens": 5, "messages": [{"role": "user", "content": text}]})
}

/// A line of an input file.
pub fn line(custom_id: &str, text: &str) -> String {
    let line =
        json!({"custom_id": custom_id, "method": "POST", "url": ENDPOINT, "body": chat_body(text)});
    format!("{line}\n")
}

/// The headers of a request with a form.
pub const FORM_HEADERS: &str = "Content-Type: multipart/form-data; boundary=XX\r\n";

/// A form with an input file.
pub fn form(lines: &str) -> String {
    format!(
        "--XX\r\nContent-Disposition: form-data; name=\"purpose\"\r\n\r\nbatch\r\n--XX\r\n\
         Content-Disposition: form-data; name=\"file\"; filename=\"set.jsonl\"\r\n\r\n{lines}\r\n--XX--\r\n"
    )
}

/// Creates a batch from a file; returns the path of the batch.
pub async fn create_batch(client: &mut Client, file_id: &str) -> String {
    let new_batch =
        json!({"input_file_id": file_id, "endpoint": ENDPOINT, "completion_window": "24h"});
    let created = request(client, "POST", "/v1/batches", "", &new_batch.to_string()).await;
    assert_eq!(created.head.status, 200, "{created:?}");
    format!("/v1/batches/{}", created.json()["id"].as_str().unwrap())
}
