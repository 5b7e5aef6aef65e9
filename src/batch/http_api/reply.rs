//! Encodes replies as HTTP/1.1 messages.

use std::fmt::Write;

use crate::api::{Reply, reason_phrase};

/// The status of replies that have no body.
const NO_CONTENT: u16 = 204;

/// Encodes a reply. `is_head`: whether the request's method is HEAD, whose response has no body.
pub(super) fn encode(reply: &Reply, request_id: &str, is_head: bool, close: bool) -> String {
    let body = reply.body.as_ref().map(|body| body.to_string());
    let body = body.unwrap_or_default();
    let mut message = status_line(reply.status);
    let _ = write!(message, "x-request-id: {request_id}\r\n");
    for (name, value) in &reply.headers {
        let _ = write!(message, "{name}: {value}\r\n");
    }
    if close {
        message.push_str("Connection: close\r\n");
    }
    if reply.status != NO_CONTENT {
        message.push_str("Content-Type: application/json\r\n");
        let _ = write!(message, "Content-Length: {}\r\n", body.len());
    }
    message.push_str("\r\n");
    if !is_head && reply.status != NO_CONTENT {
        message.push_str(&body);
    }
    message
}

/// The status line, including its line break.
pub(super) fn status_line(status: u16) -> String {
    format!("HTTP/1.1 {status} {}\r\n", reason_phrase(status))
}
