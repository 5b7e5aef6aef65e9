//! The router's metrics. Callers update them directly, without sending a message to an actor. The
//! operators' address serves them in text form.

mod admission;
mod client_side;
mod stream_ends;

use std::sync::Arc;

use prometheus::{IntCounter, IntCounterVec, IntGauge, Opts, Registry, TextEncoder};
use tracing::warn;

use crate::interface::AdmissionStatus;
use crate::logs;
use crate::ops::unserved_requests::UnservedRequest;

use admission::AdmissionMetrics;
pub use client_side::{ClientMetrics, ConnectionEnd};
pub use stream_ends::StreamEnd;
use stream_ends::StreamEndMetrics;

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The response was completely forwarded.
    Completed,
    /// The request was rejected, and a retry is safe.
    Rejected,
    /// The request failed, or its response was truncated.
    Failed,
    /// The client disconnected before the request had another outcome.
    ClientDisconnected,
}

/// The values of the label `state`, in the order of [`RequestOutcome`]. Operators' dashboards
/// depend on them.
const OUTCOME_LABELS: [&str; 4] = ["answered", "deferred", "errored", "gone"];

impl RequestOutcome {
    /// The value of the label `state`.
    fn label(self) -> &'static str {
        OUTCOME_LABELS[self as usize]
    }
}

/// A router's metrics, which start at 0. The `prometheus` crate provides the metric families and
/// the text format with its escaping. The related crate `prometheus-client` is not suitable: it
/// adds `_total` to the names of counters, and the operators' interface defines the names without
/// it.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    class_names: Vec<String>,
    /// One counter per outcome, indexed by class.
    outcomes: Vec<[IntCounter; OUTCOME_LABELS.len()]>,
    requests_in_flight: IntGauge,
    attempts_sent: IntCounter,
    listed_servers: IntGauge,
    unavailable_servers: IntGauge,
    drained: IntGauge,
    succeeded: IntGauge,
    omitted_log_lines: IntGauge,
    admission: AdmissionMetrics,
    clients: ClientMetrics,
    stream_ends: StreamEndMetrics,
}

impl Metrics {
    /// Creates the metrics for these request classes, with all values at 0.
    #[expect(clippy::expect_used, reason = "the names are literals of this file")]
    pub fn new(classes: &[String]) -> Metrics {
        Metrics::register(Registry::new(), classes)
            .expect("all names are valid literals, each registered once in a new registry")
    }

    fn register(registry: Registry, classes: &[String]) -> prometheus::Result<Metrics> {
        let transactions = Opts::new("router_transactions", "Requests by class and outcome.");
        let transactions = IntCounterVec::new(transactions, &["group", "state"])?;
        registry.register(Box::new(transactions.clone()))?;
        let attempts_sent = IntCounter::new(
            "router_sends",
            "Attempts completely written to a model server.",
        )?;
        registry.register(Box::new(attempts_sent.clone()))?;
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::new(name, help)?;
            registry.register(Box::new(gauge.clone())).map(|()| gauge)
        };
        let counters_of = |class: &String| {
            OUTCOME_LABELS.map(|outcome| transactions.with_label_values(&[class, outcome]))
        };
        Ok(Metrics {
            class_names: classes.to_vec(),
            outcomes: classes.iter().map(counters_of).collect(),
            requests_in_flight: gauge("router_current", "Requests in flight.")?,
            attempts_sent,
            listed_servers: gauge("router_cluster_size", "Model servers in the endpoint list.")?,
            unavailable_servers: gauge(
                "router_cluster_unhealthy",
                "Listed model servers that are not in service or ejected after faults.",
            )?,
            drained: gauge("router_drained", "1 while the router is drained.")?,
            succeeded: gauge(
                "router_succeeded",
                "1 once a successor process has taken over.",
            )?,
            admission: AdmissionMetrics::register(&registry, classes)?,
            omitted_log_lines: gauge(
                "router_log_lines_omitted",
                "Lines missing in the log, as it was full.",
            )?,
            clients: ClientMetrics::register(&registry)?,
            stream_ends: StreamEndMetrics::register(&registry)?,
            registry,
        })
    }

    /// Counts a request of this class as in flight until the returned guard is dropped.
    pub fn start_request(self: &Arc<Self>, class: u32) -> RequestGuard {
        self.requests_in_flight.inc();
        RequestGuard {
            metrics: self.clone(),
            class: class as usize,
            outcome: RequestOutcome::ClientDisconnected,
        }
    }

    /// The metrics of clients' connections.
    pub fn clients(&self) -> &ClientMetrics {
        &self.clients
    }

    /// Counts an attempt that was completely written to a model server.
    pub fn record_attempt_sent(&self) {
        self.attempts_sent.inc();
    }

    /// Counts a stream of a model server that has ended.
    pub fn record_stream_end(&self, end: StreamEnd) {
        self.stream_ends.record(end);
    }

    /// The names of the request classes.
    pub fn class_names(&self) -> &[String] {
        &self.class_names
    }

    /// Counts a request that was rejected or failed.
    pub fn record_unserved(&self, unserved: UnservedRequest) {
        self.admission.record_unserved(unserved);
    }

    /// Sets how many model servers are listed, and how many of them are not in service or ejected
    /// after faults.
    pub fn set_servers(&self, listed: usize, unavailable: usize) {
        self.listed_servers.set(gauge_value(listed));
        self.unavailable_servers.set(gauge_value(unavailable));
    }

    /// Sets the state of admission control.
    pub fn set_admission(&self, status: &AdmissionStatus) {
        self.admission.set_status(status);
    }

    /// Sets whether the router is drained.
    pub fn set_drained(&self, is_drained: bool) {
        self.drained.set(is_drained.into());
    }

    /// Sets whether a successor process has taken over.
    pub fn set_succeeded(&self, has_successor: bool) {
        self.succeeded.set(has_successor.into());
    }

    /// The number of requests in flight.
    pub fn requests_in_flight(&self) -> u64 {
        self.requests_in_flight.get().try_into().unwrap_or(0)
    }

    /// Encodes the metrics in the Prometheus text format.
    pub fn encode(&self) -> String {
        let omitted = logs::writer::omitted_lines();
        self.omitted_log_lines
            .set(i64::try_from(omitted).unwrap_or(i64::MAX));
        let families = self.registry.gather();
        TextEncoder::new()
            .encode_to_string(&families)
            .unwrap_or_else(|error| {
                warn!("could not encode the metrics: {error}; serving an empty text");
                String::new()
            })
    }
}

/// Converts a count to the value type of a gauge.
fn gauge_value(count: usize) -> i64 {
    i64::try_from(count).unwrap_or(i64::MAX)
}

/// The guard of a request in flight. Counts the request's outcome when it is dropped.
#[derive(Debug)]
pub struct RequestGuard {
    metrics: Arc<Metrics>,
    class: usize,
    outcome: RequestOutcome,
}

impl RequestGuard {
    /// Sets the outcome to be counted. It replaces an outcome that was set earlier.
    pub fn set_outcome(&mut self, outcome: RequestOutcome) {
        self.outcome = outcome;
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.metrics.requests_in_flight.dec();
        if let Some(counters) = self.metrics.outcomes.get(self.class) {
            counters[self.outcome as usize].inc();
        }
    }
}

#[cfg(test)]
mod tests;
