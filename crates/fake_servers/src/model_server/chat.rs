//! Chat completions: admission, adapter loading and the delay of the first token.

use serde_json::Value;
use tokio::time::{Instant, sleep};

use super::ModelServer;
use super::faults::Fault;
use super::stream::AnswerStream;
use crate::http::{Connection, Request};
use crate::request_log::{Attempt, AttemptState, RunningAttempt};

/// Number of characters that count as one token.
const CHARACTERS_PER_TOKEN: usize = 4;
/// Number of characters at its start that identify a shared prefix.
const PREFIX_KEY_CHARACTERS: usize = 16;

/// The beginning of a prompt that other sessions may share.
struct SharedPrefix {
    key: String,
    tokens: u64,
}

/// The fields of a request that the fake server uses.
pub(super) struct ChatRequest {
    pub(super) model: String,
    pub(super) prompt_tokens: u64,
    /// The request's `user` field, which identifies the session here.
    session: Option<String>,
    /// The first message, if there are several. Other sessions may begin with the same one.
    shared_prefix: Option<SharedPrefix>,
    /// Maximum number of tokens in the answer, if the request limits it.
    max_tokens: Option<u64>,
}

impl ChatRequest {
    /// Parses a request body. Missing and malformed fields count as empty.
    fn parse(body: &[u8]) -> ChatRequest {
        let body: Value = serde_json::from_slice(body).unwrap_or_default();
        ChatRequest {
            model: body["model"].as_str().unwrap_or_default().to_string(),
            prompt_tokens: count_prompt_tokens(&body),
            session: body["user"].as_str().map(String::from),
            shared_prefix: SharedPrefix::parse(&body),
            max_tokens: body["max_tokens"].as_u64(),
        }
    }
}

fn count_prompt_tokens(body: &Value) -> u64 {
    let messages = body["messages"].as_array().into_iter().flatten();
    let characters: usize = messages.map(count_characters).sum();
    (characters.div_ceil(CHARACTERS_PER_TOKEN) as u64).max(1)
}

fn count_characters(message: &Value) -> usize {
    message["content"]
        .as_str()
        .map_or(0, |content| content.chars().count())
}

impl SharedPrefix {
    /// Returns the shared prefix of a request with several messages.
    fn parse(body: &Value) -> Option<SharedPrefix> {
        let messages = body["messages"].as_array()?;
        let first = messages.first().filter(|_| messages.len() > 1)?;
        let content = first["content"].as_str()?;
        Some(SharedPrefix {
            key: content.chars().take(PREFIX_KEY_CHARACTERS).collect(),
            tokens: (count_characters(first) / CHARACTERS_PER_TOKEN) as u64,
        })
    }
}

impl ModelServer {
    /// Answers a chat completion. Returns whether the connection can be used again.
    pub(super) async fn chat(&self, connection: &mut Connection, request: &Request) -> bool {
        let chat = ChatRequest::parse(&request.body);
        let attempt = self.log_attempt(request, &chat);
        let fault = self.state().fault;
        if self.options.base_model(&chat.model).is_none() {
            attempt.finish(AttemptState::Failed);
            return respond_error(connection, "404 Not Found", "").await;
        }
        if fault == Fault::InternalError {
            attempt.finish(AttemptState::Failed);
            return respond_error(connection, "500 Internal Server Error", "").await;
        }
        let permit = self.capacity.try_acquire().ok();
        let Some(_permit) = permit.filter(|_| fault != Fault::Overloaded) else {
            attempt.finish(AttemptState::Failed);
            let headers = "X-Never-Ran: 1\r\n";
            return respond_error(connection, "503 Service Unavailable", headers).await;
        };
        let running = self.load.begin_request();
        let completed = tokio::select! {
            biased;
            cached_tokens = self.first_token(&chat, fault) => {
                self.stream(connection, &chat, cached_tokens, fault, &attempt).await
            }
            () = connection.closed() => false,
        };
        if completed {
            running.served();
        } else {
            attempt.finish(AttemptState::ClientDisconnected);
        }
        completed
    }

    fn log_attempt(&self, request: &Request, chat: &ChatRequest) -> RunningAttempt {
        let attempt = Attempt {
            server: self.options.name.clone(),
            model: chat.model.clone(),
            prompt_tokens: chat.prompt_tokens,
            written_tokens: 0,
            state: AttemptState::Running,
            received_at: Instant::now(),
        };
        let trace_id = request.trace_id.as_deref().unwrap_or_default();
        self.request_log
            .begin(trace_id, attempt, request.has_authorization)
    }

    /// Waits until the first token is ready, or forever with [`Fault::Hang`]. Returns the number of
    /// prompt tokens that were cached.
    async fn first_token(&self, chat: &ChatRequest, fault: Fault) -> u64 {
        if fault == Fault::Hang {
            std::future::pending::<()>().await;
        }
        let model = chat.model.as_str();
        let is_adapter = self.options.adapter(model).is_some();
        if is_adapter && !self.state().loaded_adapters.contains(model) {
            sleep(self.options.adapter_load_time).await;
            self.state().loaded_adapters.insert(model.into());
        }
        let slowdown = self.state().slowdown();
        sleep(self.options.first_token_delay * slowdown).await;
        self.prefill(chat, slowdown).await
    }

    /// Prefills a prompt after the prompts that arrived before it. Returns the number of its tokens
    /// that were cached.
    async fn prefill(&self, chat: &ChatRequest, slowdown: u32) -> u64 {
        let time_per_token = self.options.prefill_time_per_token * slowdown;
        if time_per_token.is_zero() {
            return 0;
        }
        let _prefill_guard = self.prefill_lock.lock().await;
        let session = chat.session.as_deref().unwrap_or_default();
        let cached = self.cached_tokens(chat, session);
        let uncached = u32::try_from(chat.prompt_tokens - cached).unwrap_or(u32::MAX);
        sleep(time_per_token * uncached).await;
        let prompt_cache = &mut self.state().prompt_cache;
        if !session.is_empty() {
            prompt_cache.insert(session, chat.prompt_tokens);
        }
        if let Some(prefix) = &chat.shared_prefix {
            prompt_cache.insert(&prefix.key, prefix.tokens);
        }
        cached
    }

    /// Number of prompt tokens that are cached, as the session's prompt or as its shared prefix.
    fn cached_tokens(&self, chat: &ChatRequest, session: &str) -> u64 {
        let prompt_cache = &self.state().prompt_cache;
        let by_session = prompt_cache.cached_tokens(session, chat.prompt_tokens);
        let by_prefix = chat.shared_prefix.as_ref().map_or(0, |prefix| {
            prompt_cache.cached_tokens(&prefix.key, chat.prompt_tokens)
        });
        by_session.max(by_prefix)
    }

    /// Streams the answer. Returns whether the complete answer was written.
    async fn stream(
        &self,
        connection: &mut Connection,
        chat: &ChatRequest,
        cached_tokens: u64,
        fault: Fault,
        attempt: &RunningAttempt,
    ) -> bool {
        let max_tokens = chat.max_tokens.unwrap_or(u64::MAX);
        let stream = AnswerStream {
            chat,
            cached_tokens,
            answer_tokens: self.options.answer_tokens.min(max_tokens),
            token_interval: self.options.token_interval,
            fault,
            defect: self.state().defect,
            paused: self.streams_paused.subscribe(),
            attempt,
        };
        stream.write(connection).await.is_ok()
    }
}

/// Answers with an error. Returns whether the connection can be used again.
async fn respond_error(connection: &mut Connection, status: &str, headers: &str) -> bool {
    connection.respond(status, headers, "no").await.is_ok()
}
