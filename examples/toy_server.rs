//! A toy model server for trying out the router: `cargo run --example toy_server --
//! 127.0.0.1:9101`.
//!
//! It streams the words of the last message back in chunks. It serves a limited number of requests
//! at a time and rejects the others with status 503.
#![forbid(unsafe_code)]

use std::sync::Arc;
use std::time::Duration;

use serde_json::{Value, json};
use stilespan::net::http::{Body, Buffer, Head, HttpError, MAX_BODY_BYTES, take_request_head};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::sleep;

/// The maximum number of concurrent requests.
const SLOTS: usize = 8;
/// The delay before the first word, and the interval between two words.
const WORD_DELAYS: (Duration, Duration) = (Duration::from_millis(60), Duration::from_millis(15));

#[tokio::main(flavor = "current_thread")]
async fn main() -> std::io::Result<()> {
    let address = std::env::args()
        .nth(1)
        .unwrap_or_else(|| "127.0.0.1:9101".into());
    let listener = TcpListener::bind(&address).await?;
    let slots = Arc::new(Semaphore::new(SLOTS));
    println!("toy model server on {address}, {SLOTS} slots");
    loop {
        let (stream, _) = listener.accept().await?;
        let slots = slots.clone();
        tokio::spawn(async move {
            if let Err(e) = connection(stream, &slots).await {
                eprintln!("connection closed after an error: {e}");
            }
        });
    }
}

async fn connection(mut stream: TcpStream, slots: &Semaphore) -> Result<(), HttpError> {
    let mut buffer = Buffer::default();
    loop {
        let head = loop {
            match take_request_head(&mut buffer)? {
                Some(head) => break head,
                None if buffer.fill(&mut stream).await? == 0 => return Ok(()),
                None => {}
            }
        };
        let mut body = Body::new(head.request_framing()?);
        let body = body
            .read_to_end(&mut buffer, &mut stream, MAX_BODY_BYTES)
            .await?;
        answer(&mut stream, &head, &body, slots).await?;
    }
}

async fn answer(
    stream: &mut TcpStream,
    head: &Head,
    body: &[u8],
    slots: &Semaphore,
) -> Result<(), HttpError> {
    if head.path() == "/ping" {
        stream
            .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
            .await?;
        return Ok(());
    }
    let request: Value = serde_json::from_slice(body).unwrap_or_default();
    let text = request["messages"]
        .as_array()
        .and_then(|m| m.last())
        .and_then(|m| m["content"].as_str());
    let Some(text) = text.filter(|_| head.path() == "/v1/chat/completions") else {
        stream
            .write_all(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
            .await?;
        return Ok(());
    };
    let Ok(_slot) = slots.try_acquire() else {
        let full =
            b"HTTP/1.1 503 Service Unavailable\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n";
        stream.write_all(full).await?;
        return Ok(());
    };
    sleep(WORD_DELAYS.0).await;
    let stream_head =
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    stream.write_all(stream_head.as_bytes()).await?;
    let choices = |delta: Value, finish: Value| json!([{"index": 0, "delta": delta, "finish_reason": finish}]);
    for word in text.split_inclusive(' ') {
        event(
            stream,
            &json!({"choices": choices(json!({"content": word}), Value::Null)}).to_string(),
        )
        .await?;
        sleep(WORD_DELAYS.1).await;
    }
    event(
        stream,
        &json!({"choices": choices(json!({}), json!("stop"))}).to_string(),
    )
    .await?;
    let usage = json!({"prompt_tokens": text.len().div_ceil(4), "completion_tokens": text.len().div_ceil(4), "prompt_tokens_details": {"cached_tokens": 0}});
    event(stream, &json!({"choices": [], "usage": usage}).to_string()).await?;
    event(stream, "[DONE]").await?;
    stream.write_all(b"0\r\n\r\n").await?;
    Ok(())
}

async fn event(stream: &mut TcpStream, data: &str) -> std::io::Result<()> {
    let text = format!("data: {data}\n\n");
    stream
        .write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())
        .await
}
