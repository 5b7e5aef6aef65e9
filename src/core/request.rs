//! What passes between a front end, the core and an upstream for one request: the request, its
//! answer, and the identity and result of its attempts. Values only; no state is owned here.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use tokio::sync::mpsc;

use super::Client;
use crate::interface::{LoadReport, Outcome, RequestId, UnservedReason};

/// The most chunks of an answer that are buffered for a slow client. When the buffer is full, the
/// model server's connection is read no further.
pub const MAX_BUFFERED_CHUNKS: usize = 16;

/// What a front end knows of a request when it comes in.
#[derive(Clone, Debug)]
pub struct RequestAttributes {
    /// Its class, an index into the settings' list.
    pub class: u32,
    /// Its tenant, an index into the settings' list.
    pub tenant: u32,
    /// Its session.
    pub session: Option<u64>,
    /// The prompt prefix that it shares with other sessions.
    pub prefix: Option<u64>,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// How many of them belong to the shared prefix.
    pub shared_prefix_tokens: u32,
    /// The most tokens that the answer can have.
    pub max_output_tokens: u32,
    /// The work expected of it; zero where the client stated none.
    pub expected_work: Duration,
    /// When it was completely received.
    pub received_at: Instant,
    /// How long after `received_at` the client waits for the first token.
    pub timeout: Duration,
    /// The client marked it as a retry.
    pub client_retry: bool,
    /// The client sends it again because its stream broke.
    pub resumed: bool,
    /// A person waits for it; other requests yield to it where they can.
    pub interactive: bool,
    /// The requested model, as the endpoint list numbers it; 0 stands for any.
    pub model: u32,
    /// Attempts that were made before, for other models.
    pub prior_attempts: u32,
}

/// The bytes that are sent for a request. Opaque to the core: a front end makes them, an upstream
/// writes them.
#[derive(Clone, Debug, Default)]
pub struct Payload {
    /// What precedes the body.
    pub preamble: Bytes,
    /// The body.
    pub body: Bytes,
}

/// A request as a front end submits it.
#[derive(Clone, Debug)]
pub struct Request {
    /// What the decision module gets to know of it.
    pub attributes: RequestAttributes,
    /// The bytes that are sent for it.
    pub payload: Payload,
    /// The client that waits for it; `None` where no client can disconnect.
    pub client: Option<Arc<dyn Client>>,
}

/// The one final answer of a request.
#[derive(Debug)]
pub enum Answer {
    /// An attempt has begun to answer; the chunks follow.
    Started(mpsc::Receiver<Chunk>),
    /// Rejected; the client may safely retry.
    Rejected {
        /// The Retry-After time, where the decision module gives one.
        retry_after: Option<Duration>,
        /// Why.
        reason: UnservedReason,
        /// Some attempt reached a model server.
        forwarded: bool,
        /// Attempts that were made.
        attempts: u32,
    },
    /// Failed; whether a retry is safe is unknown.
    Failed {
        /// Why.
        reason: UnservedReason,
        /// Some attempt reached a model server.
        forwarded: bool,
        /// Attempts that were made.
        attempts: u32,
    },
}

/// A part of an answer, in order; the last one is `Complete` or `Broken`.
#[derive(Clone, Debug, PartialEq)]
pub enum Chunk {
    /// Bytes of the answer, unchanged.
    Data(Bytes),
    /// The answer is complete.
    Complete,
    /// The answer broke off.
    Broken,
}

/// Identifies an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptId {
    /// Its request.
    pub request: RequestId,
    /// Its number within the request, from 0.
    pub attempt: u32,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptResult {
    /// The outcome.
    pub outcome: Outcome,
    /// Prompt tokens that the model server found in its prefix cache, where it reported them.
    pub cached_tokens: Option<u32>,
    /// The model server's load report, where it sent one.
    pub load_report: Option<LoadReport>,
}

impl From<Outcome> for AttemptResult {
    fn from(outcome: Outcome) -> AttemptResult {
        AttemptResult {
            outcome,
            cached_tokens: None,
            load_report: None,
        }
    }
}
