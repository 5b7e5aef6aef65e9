//! The ways in which a call attempt ends, as its stages return them to `Upstream::run_attempt`.

use tokio::sync::mpsc;

use crate::core::{AttemptResult, Chunk};
use crate::interface::Outcome;

/// The end of an attempt that is reported to the core.
pub(super) struct Completion {
    pub(super) result: AttemptResult,
    /// Sent to the client after the report to the core.
    pub(super) last_chunk: Option<LastChunk>,
}

/// The last chunk of a stream, and the channel on which the stream is sent.
pub(super) struct LastChunk {
    pub(super) chunks: mpsc::Sender<Chunk>,
    pub(super) chunk: Chunk,
}

/// Why an attempt ended before its response was complete.
pub(super) enum Interruption {
    /// The attempt ended with this outcome, and the client has received nothing of the response or
    /// has stopped reading it.
    Failed(Outcome),
    /// The client has disconnected, and the core has been notified.
    ClientDisconnected,
    /// The core has stopped, so nothing can be reported to it.
    CoreStopped,
}
