//! The memory of the program with the batch service stays below `memory_mb` whatever clients send.

mod common;

use std::time::Duration;

use common::batch_program::*;
use common::client::Client;
use common::folder::Folder;
use common::memory_peak::MemoryPeak;
use common::process::Running;
use fake_servers::{ModelServer, RequestLog, ServerOptions};
use rstest::rstest;
use serde_json::{Value, json};
use stilespan::net::http::read_response_head;
use tokio::io::AsyncWriteExt;
use tokio::time::{Instant, sleep, timeout};

/// How long a batch whose budget is exhausted is watched.
const WATCH_TIME: Duration = Duration::from_secs(5);
const MAX_WAIT: Duration = Duration::from_secs(60);
/// The text of a line, about 3,000 tokens.
const LINE_TEXT_BYTES: usize = 12_000;
/// Enough lines to exceed the memory limit if all of them are held in memory.
const LINES: usize = 4_000;
/// Enough for about ten lines.
const SMALL_BUDGET_TOKENS: u64 = 30_000;

/// The program with one model server.
struct Fixture {
    address: String,
    memory: MemoryPeak,
    _program: Running,
    _server: ModelServer,
    _folder: Folder,
}

impl Fixture {
    async fn start(budget_tokens: u64) -> Fixture {
        let options = ServerOptions {
            models: vec!["hint".into()],
            ..ServerOptions::default()
        };
        Fixture::start_on(options, budget_tokens).await
    }

    async fn start_on(options: ServerOptions, budget_tokens: u64) -> Fixture {
        let folder = Folder::new();
        let server = ModelServer::start(options, RequestLog::default())
            .await
            .unwrap();
        write_settings(&folder, &server, budget_tokens);
        let environment: [(&str, &str); 0] = [];
        let (program, address) = start_program(&folder, environment);
        Fixture {
            address,
            memory: MemoryPeak::watch(program.0.id()),
            _program: program,
            _server: server,
            _folder: folder,
        }
    }
}

/// Waits until this number of the batch's lines have been completed.
async fn wait_for_completed(client: &mut Client, batch_path: &str, count: u64) {
    let start = Instant::now();
    loop {
        let batch: Value = request(client, "GET", batch_path, "", "").await.json();
        if batch["request_counts"]["completed"].as_u64().unwrap() >= count {
            return;
        }
        assert!(start.elapsed() < MAX_WAIT, "{batch}");
        sleep(Duration::from_millis(20)).await;
    }
}

/// Guards against keeping every remaining line of a batch in memory once its budget is exhausted.
#[tokio::test]
async fn lines_over_budget_stay_in_spool() {
    let fixture = Fixture::start(SMALL_BUDGET_TOKENS).await;
    let text = "x".repeat(LINE_TEXT_BYTES);
    let lines: String = (0..LINES).map(|k| line(&format!("p{k}"), &text)).collect();
    let mut client = Client::new(&fixture.address).await;
    let file = request(
        &mut client,
        "POST",
        "/v1/files",
        FORM_HEADERS,
        &form(&lines),
    )
    .await;
    let file_id = file.json()["id"].as_str().unwrap().to_string();
    let batch_path = create_batch(&mut client, &file_id).await;
    wait_for_completed(&mut client, &batch_path, 5).await;
    sleep(WATCH_TIME).await;
    let peak = fixture.memory.mib();
    assert!(peak < MEMORY_LIMIT_MIB, "{peak} MiB");
}

/// How many clients send a body without a form at a time.
const FORMLESS_CLIENTS: usize = 300;
const FORMLESS_BODY_BYTES: usize = 8 << 20;

/// The beginning of a body in which the reader of the form finds no end.
#[derive(Clone, Copy)]
enum Opening {
    NoBoundary,
    EndlessFieldHead,
    EndlessFields,
}

impl Opening {
    fn text(self) -> &'static str {
        match self {
            Opening::NoBoundary => "",
            Opening::EndlessFieldHead => "--XX\r\nContent-Disposition: form-data; name=\"",
            Opening::EndlessFields => "--XX\r\n",
        }
    }

    /// What follows the opening, again and again.
    fn filler(self) -> Vec<u8> {
        match self {
            Opening::NoBoundary | Opening::EndlessFieldHead => vec![b'a'; 64 << 10],
            Opening::EndlessFields => {
                let field = "Content-Disposition: form-data; name=\"x\"\r\n\r\ny\r\n--XX\r\n";
                field.repeat(1 << 10).into_bytes()
            }
        }
    }
}

/// Sends a body that holds no form until the client is answered; returns the status.
async fn send_formless_body(address: &str, opening: Opening) -> u16 {
    let mut client = Client::new(address).await;
    let head = format!(
        "POST /v1/files HTTP/1.1\r\nAuthorization: Bearer {}\r\n{FORM_HEADERS}Content-Length: {FORMLESS_BODY_BYTES}\r\n\r\n{}",
        key(),
        opening.text()
    );
    let (mut reader, mut writer) = client.stream.split();
    let filler = opening.filler();
    let sending = async {
        writer.write_all(head.as_bytes()).await?;
        for _ in 0..FORMLESS_BODY_BYTES / filler.len() {
            writer.write_all(&filler).await?;
        }
        std::io::Result::Ok(())
    };
    let answered = async {
        let head = read_response_head(&mut client.buffer, &mut reader).await;
        head.unwrap().status
    };
    let (_, status) = tokio::join!(sending, answered);
    status
}

/// Guards against keeping whole bodies in memory in which the reader of the form finds no end.
#[rstest]
#[case::no_boundary(Opening::NoBoundary)]
#[case::endless_field_head(Opening::EndlessFieldHead)]
#[case::endless_fields(Opening::EndlessFields)]
#[tokio::test]
async fn formless_bodies_are_rejected_early(#[case] opening: Opening) {
    let fixture = Fixture::start(SMALL_BUDGET_TOKENS).await;
    let clients = (0..FORMLESS_CLIENTS).map(|_| send_formless_body(&fixture.address, opening));
    let statuses = timeout(MAX_WAIT, futures_util::future::join_all(clients))
        .await
        .expect("a client got no answer");
    assert_eq!(statuses, [400; FORMLESS_CLIENTS]);
    let peak = fixture.memory.mib();
    assert!(peak < MEMORY_LIMIT_MIB, "{peak} MiB");
}

/// How many chats are open at a time.
const CHATS: usize = 60;
/// The messages of a chat, about 250 KB of text in all.
const SHORT_MESSAGES: usize = 6_500;

/// Guards against parsed bodies of chats that take many times the memory of their text.
#[tokio::test]
async fn open_chats_stay_within_memory() {
    let options = ServerOptions {
        models: vec!["hint".into()],
        first_token_delay: MAX_WAIT,
        ..ServerOptions::default()
    };
    let fixture = Fixture::start_on(options, 1_000_000_000).await;
    // the server has to be in service and to have listed its models
    sleep(Duration::from_millis(500)).await;
    let messages = vec![json!({"role": "user", "content": "y"}); SHORT_MESSAGES];
    let body = json!({"model": "hint", "max_tokens": 5, "messages": messages}).to_string();
    let chats = (0..CHATS).map(|_| async {
        let mut client = Client::new(&fixture.address).await;
        request(&mut client, "POST", ENDPOINT, "", &body).await
    });
    let _ = timeout(WATCH_TIME, futures_util::future::join_all(chats)).await;
    let peak = fixture.memory.mib();
    assert!(peak < MEMORY_LIMIT_MIB, "{peak} MiB");
}
