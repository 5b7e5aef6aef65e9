//! Encoding of requests to model servers, without the headers that each attempt adds.

use bytes::Bytes;

use crate::core::Payload;

/// A request as it is sent to a model server. Method, target, trace id, idempotency key and body
/// are passed on from the client unchanged. The front that received them has checked that none of
/// them can inject a header.
pub struct UpstreamRequest<'a> {
    /// The method.
    pub method: &'a str,
    /// The path and query.
    pub target: &'a str,
    /// The `X-Trace-Id`.
    pub trace_id: Option<&'a str>,
    /// The `Idempotency-Key`, by which a model server recognises a retry of the same request.
    pub idempotency_key: Option<&'a str>,
    /// The body, in JSON.
    pub body: Bytes,
}

impl UpstreamRequest<'_> {
    /// Encodes the request without the headers that each attempt adds.
    pub fn into_payload(self) -> Payload {
        let UpstreamRequest { method, target, .. } = self;
        let mut preamble = format!("{method} {target} HTTP/1.1\r\n");
        if let Some(trace_id) = self.trace_id {
            preamble.push_str(&format!("X-Trace-Id: {trace_id}\r\n"));
        }
        if let Some(key) = self.idempotency_key {
            preamble.push_str(&format!("Idempotency-Key: {key}\r\n"));
        }
        preamble.push_str(&format!(
            "Content-Type: application/json\r\nContent-Length: {}\r\n",
            self.body.len()
        ));
        Payload {
            preamble: preamble.into(),
            body: self.body,
        }
    }
}
