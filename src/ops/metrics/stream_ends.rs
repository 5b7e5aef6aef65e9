//! Metrics of the streams of model servers: how each ended.

use prometheus::{IntCounter, IntCounterVec, Opts, Registry};

/// The values of the label `end`, in the order of [`StreamEnd`].
const END_LABELS: [&str; 7] = [
    "whole",
    "last_event_missing",
    "closed",
    "malformed",
    "timeout",
    "too_long",
    "no_memory",
];

/// How a stream from a model server ended. Only a whole stream is ended with the last chunk towards
/// the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamEnd {
    /// The last event and the end of the framing have arrived.
    Whole,
    /// The framing ended before the last event.
    LastEventMissing,
    /// The connection ended before the framing.
    Closed,
    /// The framing is malformed.
    Malformed,
    /// No event arrived for too long.
    Timeout,
    /// The stream exceeds the size limit before its first event.
    TooLong,
    /// No memory became free for a large chunk.
    NoMemory,
}

impl StreamEnd {
    /// The value of the label `end`, also used in log lines.
    pub fn label(self) -> &'static str {
        END_LABELS[self as usize]
    }
}

/// Counters of the streams of model servers by their end, which start at 0.
#[derive(Debug)]
pub(super) struct StreamEndMetrics {
    ends: [IntCounter; END_LABELS.len()],
}

impl StreamEndMetrics {
    pub(super) fn register(registry: &Registry) -> prometheus::Result<StreamEndMetrics> {
        let ends = Opts::new(
            "router_stream_ends",
            "Streams of model servers that had begun, by how they ended.",
        );
        let ends = IntCounterVec::new(ends, &["end"])?;
        registry.register(Box::new(ends.clone()))?;
        Ok(StreamEndMetrics {
            ends: END_LABELS.map(|label| ends.with_label_values(&[label])),
        })
    }

    pub(super) fn record(&self, end: StreamEnd) {
        self.ends[end as usize].inc();
    }
}
