//! Splits an answer's byte stream into complete events and counts the tokens used.
//!
//! A model server reports the usage at the end of the stream or with every event. The meter also
//! estimates the tokens from the length of the text and ignores implausible reports. No I/O.

use bytes::{Bytes, BytesMut};
use serde_json::Value;

/// Characters of text per token, the same estimate as the platform uses.
pub const CHARS_PER_TOKEN: u64 = 4;
/// The maximum size of an event, in bytes.
const MAX_EVENT_BYTES: usize = 256 << 10;
/// A report is implausible if it has fewer output tokens than the counted ones divided by this.
const MAX_UNDERREPORTING: u64 = 8;
/// The data of the event that ends a stream.
const DONE: &[u8] = b"[DONE]";

/// The estimated number of tokens for a number of characters.
pub fn estimate_tokens(chars: u64) -> u64 {
    chars.div_ceil(CHARS_PER_TOKEN)
}

/// Tokens that a request used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TokenUsage {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens of the answer.
    pub output_tokens: u64,
}

/// The source of a request's usage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UsageSource {
    /// Reported by the model server.
    Reported,
    /// Estimated from the length of the text, because the model server reported nothing.
    Counted,
    /// Estimated from the length of the text, because the model server's report is implausible.
    ImplausibleReport,
}

/// The usage of a request and its source.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MeteredUsage {
    /// The tokens to charge.
    pub usage: TokenUsage,
    /// The source of the usage.
    pub source: UsageSource,
}

/// A complete event of a stream.
#[derive(Clone, Debug, PartialEq)]
pub struct StreamEvent {
    /// The bytes as received, including the blank line at the end.
    pub bytes: Bytes,
    /// The number of characters that the event adds to the answer.
    pub chars: u64,
    /// Whether the event contains a usage report and no part of the answer.
    pub usage_only: bool,
    /// Whether this is the last event of the stream, `[DONE]`.
    pub done: bool,
}

/// An event exceeds the size limit, so the rest of the stream cannot be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("an event exceeds {MAX_EVENT_BYTES} bytes")]
pub struct EventTooLarge;

/// Token counts reported by the model server.
#[derive(Clone, Copy, Debug, Default)]
struct UsageReport {
    /// Tokens of the prompt; 0 if not reported.
    prompt_tokens: u64,
    /// Tokens of the answer, if reported.
    output_tokens: Option<u64>,
}

/// Counts the tokens of one answer's stream. Buffers the bytes of an incomplete event.
#[derive(Debug, Default)]
pub struct UsageMeter {
    buffer: BytesMut,
    /// The length of the buffer's prefix that was already searched and contains no end of an event.
    searched: usize,
    /// The number of answer characters in the events returned so far.
    chars: u64,
    report: Option<UsageReport>,
    reported_model: Option<String>,
}

impl UsageMeter {
    /// Adds the next bytes of the stream.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Removes and counts the next complete event, if there is one.
    pub fn next_event(&mut self) -> Result<Option<StreamEvent>, EventTooLarge> {
        if let Some(length) = self.event_length() {
            self.searched = 0;
            return Ok(Some(self.take_event(length)));
        }
        // the last three bytes may be the start of a blank line
        self.searched = self.buffer.len().saturating_sub(3);
        if self.buffer.len() > MAX_EVENT_BYTES {
            return Err(EventTooLarge);
        }
        Ok(None)
    }

    /// Removes and counts the remaining bytes at the end of the stream, as one event.
    pub fn take_remainder(&mut self) -> Option<StreamEvent> {
        let length = self.buffer.len();
        (length > 0).then(|| self.take_event(length))
    }

    /// The length of the buffer's first event, up to and including its blank line.
    fn event_length(&self) -> Option<usize> {
        let unsearched = &self.buffer[self.searched..];
        let end_after = |blank_line: &[u8]| {
            unsearched
                .windows(blank_line.len())
                .position(|window| window == blank_line)
                .map(|start| start + blank_line.len())
        };
        let ends = [end_after(b"\n\n"), end_after(b"\r\n\r\n")];
        let first_end = ends.into_iter().flatten().min()?;
        Some(self.searched + first_end)
    }

    fn take_event(&mut self, length: usize) -> StreamEvent {
        let bytes = self.buffer.split_to(length).freeze();
        let mut event = StreamEvent {
            bytes: bytes.clone(),
            chars: 0,
            usage_only: false,
            done: false,
        };
        for line in bytes.split(|&byte| byte == b'\n') {
            let Some(data) = line.trim_ascii().strip_prefix(b"data:") else {
                continue;
            };
            let data = data.trim_ascii();
            if data == DONE {
                event.done = true;
            } else if let Ok(chunk) = serde_json::from_slice(data) {
                self.record_chunk(&chunk, &mut event);
            }
        }
        self.chars += event.chars;
        event
    }

    /// Records a `chat.completion.chunk` object of an event.
    fn record_chunk(&mut self, chunk: &Value, event: &mut StreamEvent) {
        let choices = chunk["choices"].as_array().map_or(&[][..], Vec::as_slice);
        event.chars += choices.iter().map(choice_chars).sum::<u64>();
        if chunk["usage"].is_object() {
            event.usage_only = choices.is_empty();
            self.record_report(&chunk["usage"]);
        }
        if self.reported_model.is_none() {
            self.reported_model = chunk["model"].as_str().map(String::from);
        }
    }

    /// Records a usage report. A server may report a running total with every event, so the maximum
    /// is kept.
    fn record_report(&mut self, usage: &Value) {
        let previous = self.report.unwrap_or_default();
        let prompt_tokens = usage["prompt_tokens"].as_u64().unwrap_or(0);
        // a negative or non-numeric count becomes 0, implausible unless very few tokens are counted
        let output_tokens = usage
            .get("completion_tokens")
            .map(|tokens| tokens.as_u64().unwrap_or(0));
        self.report = Some(UsageReport {
            prompt_tokens: previous.prompt_tokens.max(prompt_tokens),
            output_tokens: previous.output_tokens.max(output_tokens),
        });
    }

    /// Subtracts an event that was counted but not forwarded.
    pub fn discard(&mut self, event: &StreamEvent) {
        self.chars -= event.chars;
    }

    /// The number of output tokens so far, estimated from the length of the text.
    pub fn counted_output_tokens(&self) -> u64 {
        estimate_tokens(self.chars)
    }

    /// The model name that the model server reports.
    pub fn reported_model(&self) -> Option<&str> {
        self.reported_model.as_deref()
    }

    /// The usage to charge: the reported usage if it is plausible for a model with this context
    /// window, otherwise the estimated prompt tokens and the counted output tokens.
    pub fn usage(&self, estimated_prompt_tokens: u64, context_window: u64) -> MeteredUsage {
        let counted = TokenUsage {
            prompt_tokens: estimated_prompt_tokens,
            output_tokens: self.counted_output_tokens(),
        };
        let Some(report) = self.report else {
            return MeteredUsage {
                usage: counted,
                source: UsageSource::Counted,
            };
        };
        // a count that is missing from the report is replaced by the router's own count
        let reported = TokenUsage {
            prompt_tokens: match report.prompt_tokens {
                0 => counted.prompt_tokens,
                tokens => tokens,
            },
            output_tokens: report.output_tokens.unwrap_or(counted.output_tokens),
        };
        let plausible = report.prompt_tokens <= context_window
            && reported.output_tokens <= context_window
            && reported.output_tokens >= counted.output_tokens / MAX_UNDERREPORTING;
        if plausible {
            MeteredUsage {
                usage: reported,
                source: UsageSource::Reported,
            }
        } else {
            MeteredUsage {
                usage: counted,
                source: UsageSource::ImplausibleReport,
            }
        }
    }
}

/// The number of characters that a choice adds to the answer: text and arguments of tool calls.
fn choice_chars(choice: &Value) -> u64 {
    let delta = &choice["delta"];
    let texts = ["content", "refusal", "reasoning_content"].map(|name| delta[name].as_str());
    let tool_calls = delta["tool_calls"].as_array().into_iter().flatten();
    let arguments = tool_calls.map(|call| call["function"]["arguments"].as_str());
    texts
        .into_iter()
        .chain(arguments)
        .flatten()
        .map(|text| text.chars().count() as u64)
        .sum()
}

#[cfg(test)]
mod tests;
