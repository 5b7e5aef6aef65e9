//! Metrics of client connections and of the answers sent on them: how long requests waited unread,
//! which answers were late, and why connections were ended and requests got an error.

use prometheus::{Histogram, HistogramOpts, IntCounter, IntCounterVec, Opts, Registry};

use super::RequestOutcome;

/// Upper bounds of the histogram buckets for times, in seconds. The shortest deadlines are a few
/// hundred milliseconds; the operating system retransmits a connection request after 1, 3 and 7 s.
const WAIT_BUCKETS: [f64; 8] = [0.001, 0.01, 0.05, 0.15, 0.5, 1.0, 3.0, 10.0];
/// The values of the label `reason`, in the order of [`ConnectionEnd`].
const END_LABELS: [&str; 7] = [
    "evicted",
    "evicted_receiving",
    "idle",
    "drained",
    "shutdown",
    "stalled",
    "turned_away",
];

/// Why the router ended a client connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// The connection's descriptor was needed, and no request had started to arrive.
    Evicted,
    /// The connection's descriptor was needed, and a request had arrived only in part.
    EvictedReceiving,
    /// No request arrived within the idle timeout.
    Idle,
    /// The router is drained.
    Drained,
    /// The process shuts down.
    Shutdown,
    /// The client accepted no bytes of its answer.
    Stalled,
    /// There was no room for the connection.
    TurnedAway,
}

/// Metrics of client connections, which start at 0.
#[derive(Debug)]
pub struct ClientMetrics {
    unread_seconds: Histogram,
    accept_wait_seconds: Histogram,
    late_seconds: Histogram,
    late_answers: IntCounterVec,
    error_answers: IntCounterVec,
    connection_ends: [IntCounter; END_LABELS.len()],
}

impl ClientMetrics {
    pub(super) fn register(registry: &Registry) -> prometheus::Result<ClientMetrics> {
        let histogram = |name: &str, help: &str| {
            let options = HistogramOpts::new(name, help).buckets(WAIT_BUCKETS.to_vec());
            let histogram = Histogram::with_opts(options)?;
            registry
                .register(Box::new(histogram.clone()))
                .map(|()| histogram)
        };
        let counters = |name: &str, help: &str, labels: &[&str]| {
            let counters = IntCounterVec::new(Opts::new(name, help), labels)?;
            registry
                .register(Box::new(counters.clone()))
                .map(|()| counters)
        };
        let ends = counters(
            "router_connections_ended",
            "Clients' connections that the router ended, by reason.",
            &["reason"],
        )?;
        Ok(ClientMetrics {
            unread_seconds: histogram(
                "router_unread_seconds",
                "Longest time for which a complete request may have been unread.",
            )?,
            accept_wait_seconds: histogram(
                "router_accept_wait_seconds",
                "Longest time for which a new connection may have waited to be accepted and served.",
            )?,
            late_seconds: histogram("router_late_seconds", "Lateness of late answers.")?,
            late_answers: counters(
                "router_late_answers",
                "Answers that began after their request's deadline, by outcome.",
                &["state"],
            )?,
            error_answers: counters(
                "router_error_answers",
                "Answers with an error status, by status and reason.",
                &["status", "reason"],
            )?,
            connection_ends: END_LABELS.map(|label| ends.with_label_values(&[label])),
        })
    }

    /// Records the longest time for which a complete request may have been unread.
    pub fn record_unread(&self, seconds: f64) {
        self.unread_seconds.observe(seconds);
    }

    /// Records the longest time for which a new connection may have waited until it was served.
    pub fn record_accept_wait(&self, seconds: f64) {
        self.accept_wait_seconds.observe(seconds);
    }

    /// Records an answer that began `seconds` after its request's deadline.
    pub fn record_late_answer(&self, outcome: RequestOutcome, seconds: f64) {
        self.late_answers
            .with_label_values(&[outcome.label()])
            .inc();
        self.late_seconds.observe(seconds);
    }

    /// Records an answer with an error status. `reason` is one of a fixed set of texts of this
    /// program.
    pub fn record_error_answer(&self, status: u16, reason: &str) {
        self.error_answers
            .with_label_values(&[status.to_string().as_str(), reason])
            .inc();
    }

    /// Records that the router ended a connection.
    pub fn record_connection_end(&self, end: ConnectionEnd) {
        self.connection_ends[end as usize].inc();
    }
}
