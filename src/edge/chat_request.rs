//! A chat request, as a front end passes it to the edge.

use std::sync::Arc;
use std::time::{Duration, Instant};

use super::{Caller, ChatBody};
use crate::core::Client;
use crate::request_ids::RequestIdGuard;

/// A chat request with its caller and deadline.
pub struct ChatRequest {
    /// The sender of the request.
    pub caller: Caller,
    /// The validated request body.
    pub chat: ChatBody,
    /// The name of the class, if the client specified one. Otherwise the model's class applies, or
    /// the first class of the settings if the model has none.
    pub class: Option<String>,
    /// How long the client waits for the first token, if it specified a timeout. Otherwise the
    /// class's deadline applies.
    pub timeout: Option<Duration>,
    /// When the request was completely received.
    pub received_at: Instant,
    /// The request's id, which is sent to model servers.
    pub trace: RequestIdGuard,
    /// Whether a user is waiting for the answer; false for a batch line.
    pub interactive: bool,
    /// The connected client; `None` if no client can disconnect, as for a batch line.
    pub client: Option<Arc<dyn Client>>,
}
