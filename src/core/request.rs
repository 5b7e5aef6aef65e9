//! The values that a front end, the core and an upstream exchange for one request: the request, its
//! answer, and the identity and result of its attempts.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use tokio::sync::mpsc;

use super::Client;
use crate::interface::{LoadReport, Outcome, RequestId, UnservedReason};

/// The maximum number of chunks of an answer that are buffered for a slow client. While the buffer
/// is full, nothing more is read from the model server's connection.
pub const MAX_BUFFERED_CHUNKS: usize = 16;

/// The attributes of a request that a front end determines when it receives the request.
#[derive(Clone, Debug)]
pub struct RequestAttributes {
    /// Its class, an index into the settings' list.
    pub class: u32,
    /// Its tenant, an index into the settings' list.
    pub tenant: u32,
    /// Its session, if it belongs to one.
    pub session: Option<u64>,
    /// The prompt prefix that it shares with other sessions, if any.
    pub prefix: Option<u64>,
    /// The number of tokens in the prompt.
    pub prompt_tokens: u32,
    /// The number of prompt tokens that belong to the shared prefix.
    pub shared_prefix_tokens: u32,
    /// The maximum number of tokens in the answer.
    pub max_output_tokens: u32,
    /// The expected work; zero if the client stated none.
    pub expected_work: Duration,
    /// When it was completely received.
    pub received_at: Instant,
    /// How long after `received_at` the client waits for the first token.
    pub timeout: Duration,
    /// Whether the client marked it as a retry.
    pub client_retry: bool,
    /// Whether the client sends it again because its stream broke.
    pub resumed: bool,
    /// Whether a person waits for the answer. Other requests yield to interactive ones where they
    /// can.
    pub interactive: bool,
    /// The requested model, as the endpoint list numbers it; 0 means any model.
    pub model: u32,
    /// The number of attempts that were made before for other models.
    pub prior_attempts: u32,
}

/// The bytes that are sent to a model server for a request. Opaque to the core: a front end creates
/// them, and an upstream writes them.
#[derive(Clone, Debug, Default)]
pub struct Payload {
    /// The bytes before the body.
    pub preamble: Bytes,
    /// The body.
    pub body: Bytes,
}

/// A request as a front end submits it.
#[derive(Clone, Debug)]
pub struct Request {
    /// The attributes that are passed to the decision module.
    pub attributes: RequestAttributes,
    /// The bytes that are sent to the model server.
    pub payload: Payload,
    /// The client that waits for the answer; `None` if no client can disconnect.
    pub client: Option<Arc<dyn Client>>,
}

/// The final answer of a request. Each request gets exactly one.
#[derive(Debug)]
pub enum Answer {
    /// An attempt has begun to answer; the chunks follow.
    Started(mpsc::Receiver<Chunk>),
    /// The request was rejected; the client may safely retry.
    Rejected {
        /// The Retry-After time, if the decision module gives one.
        retry_after: Option<Duration>,
        /// Why the request was not served.
        reason: UnservedReason,
        /// Whether some attempt reached a model server.
        forwarded: bool,
        /// The number of attempts that were made.
        attempts: u32,
    },
    /// The request failed; it is unknown whether a retry is safe.
    Failed {
        /// Why the request was not served.
        reason: UnservedReason,
        /// Whether some attempt reached a model server.
        forwarded: bool,
        /// The number of attempts that were made.
        attempts: u32,
    },
}

/// A part of an answer. The parts are sent in order; the last one is `Complete` or `Broken`.
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
    /// The number of prompt tokens that the model server found in its prefix cache, if it reported
    /// them.
    pub cached_tokens: Option<u32>,
    /// The model server's load report, if it sent one.
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
