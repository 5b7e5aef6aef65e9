//! The request for which a route is made.

use thiserror::Error;

use crate::interface::Timestamp;

/// The properties of a chat request that routing uses.
#[derive(Clone, Debug)]
pub struct ChatQuery {
    /// The index of the model in the catalog.
    pub model: usize,
    /// The estimated number of prompt tokens.
    pub prompt_tokens: u32,
    /// The maximum number of output tokens, if the client limits them.
    pub max_output_tokens: Option<u32>,
    /// When the client stops waiting for the first token.
    pub expires_at: Timestamp,
    /// The maximum number of call attempts over all submissions.
    pub max_attempts: u32,
    /// Whether the request may be repeated after an attempt that may have run.
    pub idempotent: bool,
}

/// Why a request has no route.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum RouteError {
    /// The caller may not use the model.
    #[error("the caller may not use the model")]
    ModelForbidden,
    /// The context window of the model has no space for the prompt and one output token.
    #[error("the prompt is longer than the context window of {context_window} tokens")]
    PromptTooLong {
        /// The size of the context window, in tokens.
        context_window: u32,
    },
}
