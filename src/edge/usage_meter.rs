//! Splits an answer's byte stream into complete events and counts the tokens that it uses.
//!
//! A model server reports its usage at the end of the stream, or with every event; the meter counts
//! by the text's length too, and doesn't trust a report that can't be true. No I/O.

use bytes::{Bytes, BytesMut};
use serde_json::Value;

/// Characters of text per token, as the platform estimates them.
pub const CHARS_PER_TOKEN: u64 = 4;
/// The largest event, in bytes.
const MAX_EVENT_BYTES: usize = 256 << 10;
/// A report of less than one output token for so many counted ones is implausible.
const MAX_UNDERREPORTING: u64 = 8;
/// The event that ends a stream.
const DONE: &[u8] = b"[DONE]";

/// The estimated tokens of so many characters.
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

/// Where a request's usage comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UsageSource {
    /// The server reported it.
    Reported,
    /// It is counted by the text's length: the server reported nothing.
    Counted,
    /// It is counted by the text's length: the server's report can't be true.
    ImplausibleReport,
}

/// The usage of a request, and where it comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MeteredUsage {
    /// The tokens to charge.
    pub usage: TokenUsage,
    /// Where their number comes from.
    pub source: UsageSource,
}

/// A complete event of a stream.
#[derive(Clone, Debug, PartialEq)]
pub struct StreamEvent {
    /// Its bytes as received, with the blank line at its end.
    pub bytes: Bytes,
    /// Characters of text that it adds to the answer.
    pub chars: u64,
    /// It contains a usage report and no part of the answer.
    pub usage_only: bool,
    /// It is the last event of the stream, `[DONE]`.
    pub done: bool,
}

/// An event exceeds the size limit; the stream can't be read any further.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("an event exceeds {MAX_EVENT_BYTES} bytes")]
pub struct EventTooLarge;

/// Tokens as the server reports them.
#[derive(Clone, Copy, Debug, Default)]
struct UsageReport {
    /// Tokens of the prompt; 0 if not reported.
    prompt_tokens: u64,
    /// Tokens of the answer, if reported.
    output_tokens: Option<u64>,
}

/// Meters the stream of one answer. Owns the bytes of the event that is not complete yet.
#[derive(Debug, Default)]
pub struct UsageMeter {
    buffer: BytesMut,
    /// How many of the buffer's bytes are known to hold no end of an event.
    searched: usize,
    /// Characters of the answer in the events taken out so far.
    chars: u64,
    report: Option<UsageReport>,
    reported_model: Option<String>,
}

impl UsageMeter {
    /// Adds the next bytes of the stream.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Takes out the next complete event, if there is one, and counts it.
    pub fn next_event(&mut self) -> Result<Option<StreamEvent>, EventTooLarge> {
        if let Some(length) = self.event_length() {
            self.searched = 0;
            return Ok(Some(self.take_event(length)));
        }
        // an end may have begun in the last three bytes
        self.searched = self.buffer.len().saturating_sub(3);
        if self.buffer.len() > MAX_EVENT_BYTES {
            return Err(EventTooLarge);
        }
        Ok(None)
    }

    /// Takes out what remains at the end of the stream, as an event, and counts it.
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

    /// Records a usage report. A server may report a running count with every event: the largest
    /// one counts.
    fn record_report(&mut self, usage: &Value) {
        let so_far = self.report.unwrap_or_default();
        let prompt_tokens = usage["prompt_tokens"].as_u64().unwrap_or(0);
        // what is no number, or a negative one, counts as 0 and so as implausible
        let output_tokens = usage
            .get("completion_tokens")
            .map(|tokens| tokens.as_u64().unwrap_or(0));
        self.report = Some(UsageReport {
            prompt_tokens: so_far.prompt_tokens.max(prompt_tokens),
            output_tokens: so_far.output_tokens.max(output_tokens),
        });
    }

    /// Takes back the count of an event that was not forwarded after all.
    pub fn discard(&mut self, event: &StreamEvent) {
        self.chars -= event.chars;
    }

    /// Tokens of the answer so far, by the text's length.
    pub fn counted_output_tokens(&self) -> u64 {
        estimate_tokens(self.chars)
    }

    /// The model that the server says it runs.
    pub fn reported_model(&self) -> Option<&str> {
        self.reported_model.as_deref()
    }

    /// The usage to charge: as reported if that is plausible for a model with this context window,
    /// otherwise the estimated prompt and the counted output.
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
        // a report of one direction leaves the other as it is known here
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

/// Characters that a choice adds to the answer: text, and the arguments of tool calls.
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
