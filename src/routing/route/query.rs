//! The request that a route is for.

use thiserror::Error;

use crate::interface::Timestamp;

/// A chat request as routing sees it.
#[derive(Clone, Debug)]
pub struct ChatQuery {
    /// The index of the model in the catalog.
    pub model: usize,
    /// The estimated tokens of the prompt.
    pub prompt_tokens: u32,
    /// The most tokens of the answer, where the client limits them.
    pub max_output_tokens: Option<u32>,
    /// When the client stops waiting for a first token.
    pub expires_at: Timestamp,
    /// The most call attempts over all submissions.
    pub max_attempts: u32,
    /// Whether the request can be repeated without harm after an attempt that may have run.
    pub idempotent: bool,
}

/// Why a request has no route.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum RouteError {
    /// The caller may not use the model.
    #[error("the caller may not use the model")]
    ModelForbidden,
    /// The context window of the model does not hold the prompt and a token of an answer.
    #[error("the prompt is longer than the context window of {context_window} tokens")]
    PromptTooLong {
        /// The tokens of the context window.
        context_window: u32,
    },
}
