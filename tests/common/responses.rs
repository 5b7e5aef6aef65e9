//! Responses of scripted model servers.
#![allow(dead_code)]

use serde_json::json;

use super::scripted_peer::Step;

/// A chunk of a chunked body.
pub fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// The head of a stream.
pub const STREAM: &str =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
/// The last chunk of a chunked body.
pub const LAST: &str = "0\r\n\r\n";

/// An event of a stream whose text is this.
pub fn event(text: &str) -> String {
    let choice = json!({"index": 0, "delta": {"content": text}, "finish_reason": null});
    format!("data: {}\n\n", json!({"choices": [choice]}))
}

/// A complete answer of one event.
pub fn answer(text: &str) -> Vec<Step> {
    vec![Step::Write(format!(
        "{STREAM}{}{}{LAST}",
        chunk(&event(text)),
        chunk("data: [DONE]\n\n")
    ))]
}

/// A successful response with this body.
pub fn success(body: &str) -> Step {
    Step::Write(format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    ))
}

/// A response that is no stream, with this status and more header fields.
pub fn plain(status: &str, extra: &str) -> Vec<Step> {
    vec![Step::Write(format!(
        "HTTP/1.1 {status}\r\n{extra}Content-Length: 2\r\n\r\nno"
    ))]
}
