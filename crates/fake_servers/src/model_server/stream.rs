//! The stream of one answer: server-sent events in a chunked response.

use std::time::Duration;

use serde_json::{Value, json};
use tokio::sync::watch;
use tokio::time::sleep;

use super::chat::ChatRequest;
use super::faults::{Fault, ResponseDefect};
use crate::http::Connection;
use crate::request_log::{AttemptState, RunningAttempt};

/// The event that ends a stream.
const END_OF_STREAM: &str = "data: [DONE]\n\n";
/// The usage that is reported with [`ResponseDefect::ImplausibleUsage`], in tokens.
const IMPLAUSIBLE_TOKENS: u64 = 1 << 63;

/// An answer that is being written.
pub(super) struct AnswerStream<'a> {
    pub(super) chat: &'a ChatRequest,
    /// Number of prompt tokens that were cached.
    pub(super) cached_tokens: u64,
    pub(super) answer_tokens: u64,
    pub(super) token_interval: Duration,
    pub(super) fault: Fault,
    pub(super) defect: ResponseDefect,
    /// Whether the stream pauses after its first token.
    pub(super) paused: watch::Receiver<bool>,
    pub(super) attempt: &'a RunningAttempt,
}

/// Why a stream ended before the answer was complete.
pub(super) enum StreamError {
    /// The fault [`Fault::BreakStreamAfter`] ended the stream.
    EndedByFault,
    /// The client closed the connection, or the connection failed.
    Disconnected,
}

impl From<std::io::Error> for StreamError {
    fn from(_: std::io::Error) -> StreamError {
        StreamError::Disconnected
    }
}

impl AnswerStream<'_> {
    /// Writes the complete stream. Logs the attempt as failed if the server's fault ends the stream
    /// early, and as completed at the end of the stream.
    pub(super) async fn write(mut self, connection: &mut Connection) -> Result<(), StreamError> {
        connection.begin_events().await?;
        for number in 0..self.answer_tokens {
            if self.fault == Fault::BreakStreamAfter(number) {
                self.attempt.finish(AttemptState::Failed);
                return Err(StreamError::EndedByFault);
            }
            tokio::select! {
                biased;
                () = self.wait_for_token(number) => {}
                () = connection.closed() => return Err(StreamError::Disconnected),
            }
            connection.write_chunk(&self.token_event(number)).await?;
            self.attempt.count_token();
        }
        connection.write_chunk(&self.last_events()).await?;
        connection.write_chunk("").await?;
        self.attempt.finish(AttemptState::Completed);
        Ok(())
    }

    /// Waits until a token is ready. The first token is ready immediately.
    async fn wait_for_token(&mut self, number: u64) {
        if number == 0 {
            return;
        }
        if !self.token_interval.is_zero() {
            sleep(self.token_interval).await;
        }
        let _ = self.paused.wait_for(|paused| !paused).await;
    }

    fn token_event(&self, number: u64) -> String {
        let content = format!("{:03} ", number % 1000);
        let choices = json!([{"index": 0, "delta": {"content": content}, "finish_reason": null}]);
        format!("data: {}\n\n", self.completion_chunk(choices))
    }

    /// The events after the last token: the finish reason, the usage and the end of the stream.
    fn last_events(&self) -> String {
        let choices = json!([{"index": 0, "delta": {}, "finish_reason": "stop"}]);
        let finish = format!("data: {}\n\n", self.completion_chunk(choices));
        let tokens = self.answer_tokens;
        let usage = match self.defect {
            ResponseDefect::MissingUsage => String::new(),
            ResponseDefect::ImplausibleUsage => self.usage_event(IMPLAUSIBLE_TOKENS),
            ResponseDefect::RepeatedUsage => {
                self.usage_event(tokens / 2) + &self.usage_event(tokens)
            }
            ResponseDefect::None | ResponseDefect::WrongModelName => self.usage_event(tokens),
        };
        finish + &usage + END_OF_STREAM
    }

    fn usage_event(&self, completion_tokens: u64) -> String {
        let prompt_tokens = self.chat.prompt_tokens;
        let mut chunk = self.completion_chunk(json!([]));
        chunk["usage"] = json!({"prompt_tokens": prompt_tokens, "completion_tokens": completion_tokens,
            "total_tokens": prompt_tokens.saturating_add(completion_tokens),
            "prompt_tokens_details": {"cached_tokens": self.cached_tokens}});
        format!("data: {chunk}\n\n")
    }

    fn completion_chunk(&self, choices: Value) -> Value {
        let model = match self.defect {
            ResponseDefect::WrongModelName => "another",
            _ => &self.chat.model,
        };
        json!({"object": "chat.completion.chunk", "model": model, "choices": choices})
    }
}
