//! How a call attempt ends: the types by which its stages report to the attempt itself.

use tokio::sync::mpsc;

use crate::core::{AttemptResult, Chunk};
use crate::interface::Outcome;

/// The end of an attempt as it is reported to the core.
pub(super) struct Completion {
    pub(super) result: AttemptResult,
    /// Sent to the client after the core was notified.
    pub(super) last_chunk: Option<LastChunk>,
}

/// The last chunk of a stream, and the channel of the stream.
pub(super) struct LastChunk {
    pub(super) chunks: mpsc::Sender<Chunk>,
    pub(super) chunk: Chunk,
}

/// Why an attempt ended before its stream did.
pub(super) enum Interruption {
    /// With this outcome; the client has got nothing of it, or wants no more.
    Failed(Outcome),
    /// The client has disconnected, and the core knows of it.
    ClientDisconnected,
    /// There is no core to report to.
    CoreStopped,
}
