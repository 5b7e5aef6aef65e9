//! Parses the headers that the platform's protocol defines for requests.

use std::time::{Duration, Instant};

use super::DownstreamContext;
use super::reply::Reply;
use crate::core::RequestAttributes;
use crate::interface::stable_hash;
use crate::net::http::{Head, is_safe_header_value};
use crate::request_ids::is_request_id;

/// Deadline of a request if neither its client nor its class sets one.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(10);
/// Maximum deadline of a request. A longer deadline that a client sets is reduced to it. The
/// deadlines of the classes are far shorter.
const MAX_DEADLINE: Duration = Duration::from_secs(600);

/// The contents of a request's head.
#[derive(Debug)]
pub(super) struct RequestHead<'a> {
    pub(super) attributes: RequestAttributes,
    pub(super) id: &'a str,
}

/// A header that can't be parsed. The error texts are part of the answers to clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum InvalidHeader {
    #[error("X-Qos names no class")]
    Class,
    #[error("X-Customer names no tenant")]
    Tenant,
    #[error("X-Expires-In-Ms")]
    Deadline,
    /// The request id, or the request's target, which is written to the model server with the id.
    #[error("X-Trace-Id")]
    RequestId,
    #[error("X-Props")]
    Properties,
}

impl From<InvalidHeader> for Reply {
    fn from(e: InvalidHeader) -> Reply {
        Reply::new(400, "Bad Request", e.to_string())
    }
}

impl DownstreamContext {
    /// Parses the head of a request.
    pub(super) fn parse_head<'a>(&self, head: &'a Head) -> Result<RequestHead<'a>, InvalidHeader> {
        let class = head
            .get("x-qos")
            .and_then(|name| position(&self.classes, name))
            .ok_or(InvalidHeader::Class)?;
        let tenant = match head.get("x-customer") {
            Some(name) => position(&self.tenants, name).ok_or(InvalidHeader::Tenant)?,
            None => 0,
        };
        let timeout = self.deadline(head, class)?;
        let id = head.get("x-trace-id").unwrap_or_default();
        if !is_request_id(id) || !is_safe_header_value(&head.target) {
            return Err(InvalidHeader::RequestId);
        }
        let retry = head.get("x-second-try");
        let mut attributes = RequestAttributes {
            class: class as u32,
            tenant: tenant as u32,
            session: head.get("x-object").map(parse_key),
            prefix: None,
            prompt_tokens: 0,
            shared_prefix_tokens: 0,
            max_output_tokens: 0,
            expected_work: Duration::ZERO,
            received_at: Instant::now(),
            timeout,
            client_retry: retry == Some("1"),
            resumed: retry == Some("again"),
            interactive: true,
            model: 0,
            prior_attempts: 0,
        };
        parse_properties(head.get("x-props").unwrap_or_default(), &mut attributes)?;
        Ok(RequestHead { attributes, id })
    }

    /// How long the client of a request waits for its answer.
    fn deadline(&self, head: &Head, class: usize) -> Result<Duration, InvalidHeader> {
        let deadline = match head.get("x-expires-in-ms") {
            Some(text) => {
                let milliseconds = parse_digits(text).ok_or(InvalidHeader::Deadline)?;
                Duration::from_millis(milliseconds.into())
            }
            None => self
                .deadlines
                .get(class)
                .copied()
                .unwrap_or(DEFAULT_DEADLINE),
        };
        Ok(deadline.min(MAX_DEADLINE))
    }
}

fn position(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|known| known == name)
}

/// Parses the properties in an `X-Props` header: `name=value` pairs, separated by commas. Unknown
/// properties are ignored.
fn parse_properties(text: &str, attributes: &mut RequestAttributes) -> Result<(), InvalidHeader> {
    for property in text.split(',') {
        let Some((name, value)) = property.split_once('=') else {
            continue;
        };
        let value = value.trim();
        let number = || parse_digits(value).ok_or(InvalidHeader::Properties);
        match name.trim() {
            "prefix" => attributes.prefix = Some(parse_key(value)).filter(|&key| key != 0),
            "prompt_len" => attributes.prompt_tokens = number()?,
            "prefix_len" => attributes.shared_prefix_tokens = number()?,
            "max_out" => attributes.max_output_tokens = number()?,
            _ => {}
        }
    }
    Ok(())
}

/// Parses an unsigned decimal number. Accepts only digits and no sign, unlike `str::parse`.
fn parse_digits(text: &str) -> Option<u32> {
    text.bytes()
        .all(|byte| byte.is_ascii_digit())
        .then(|| text.parse().ok())
        .flatten()
}

/// Parses a key of up to 16 hexadecimal digits. Any other text is hashed to a key.
fn parse_key(text: &str) -> u64 {
    let key = (1..=16)
        .contains(&text.len())
        .then(|| u64::from_str_radix(text, 16).ok())
        .flatten();
    key.unwrap_or_else(|| stable_hash(text))
}

#[cfg(test)]
mod tests;
