//! A chat request as a front end hands it to the edge.

use std::sync::Arc;
use std::time::{Duration, Instant};

use super::{Caller, ChatBody};
use crate::core::Client;
use crate::request_ids::RequestIdGuard;

/// A chat request to be answered.
pub struct ChatRequest {
    /// Who sent it.
    pub caller: Caller,
    /// What it asks for.
    pub chat: ChatBody,
    /// The name of its class, if the client named one; otherwise the model's applies, or else the
    /// first of the settings.
    pub class: Option<String>,
    /// How long the client waits for the first token, if it said so; otherwise the class's deadline
    /// applies.
    pub timeout: Option<Duration>,
    /// When it had been received completely.
    pub received_at: Instant,
    /// Its id, which model servers see.
    pub trace: RequestIdGuard,
    /// A person waits for the answer; false for a line of a batch.
    pub interactive: bool,
    /// The client that waits for it; none where no client can disconnect.
    pub client: Option<Arc<dyn Client>>,
}
