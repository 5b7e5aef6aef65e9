//! Metrics of admission control, and of the requests that are not served.

use prometheus::{Gauge, IntCounter, IntCounterVec, IntGauge, Opts, Registry};

use super::gauge_value;
use crate::interface::{AdmissionStatus, MissCause, UnservedReason};
use crate::ops::unserved_requests::UnservedRequest;

/// The values of the label `servers`: whether a model server was available for the request.
const AVAILABILITY_LABELS: [&str; 2] = ["none", "available"];

/// The counters of one class's unserved requests with one reason, indexed by availability.
type UnservedCounters = [IntCounter; AVAILABILITY_LABELS.len()];

/// Metrics of admission control, which start at 0, except the admitted fraction.
#[derive(Debug)]
pub(super) struct AdmissionMetrics {
    admitted_fraction: Gauge,
    miss_rate: Gauge,
    mature_servers: IntGauge,
    stall: StallMetrics,
    misses: [IntCounter; MissCause::LABELS.len()],
    unserved: [IntCounter; UnservedReason::LABELS.len()],
    /// Indexed by class, then by reason.
    by_class: Vec<[UnservedCounters; UnservedReason::LABELS.len()]>,
}

/// For how long requests are queued although nothing is in flight, in seconds.
#[derive(Debug)]
struct StallMetrics {
    current: Gauge,
    longest: Gauge,
}

impl StallMetrics {
    fn register(registry: &Registry) -> prometheus::Result<StallMetrics> {
        let current = Gauge::new(
            "router_queue_stall_seconds",
            "Time for which requests are queued, nothing is in flight and a warm server is in service.",
        )?;
        registry.register(Box::new(current.clone()))?;
        let longest = Gauge::new(
            "router_longest_queue_stall_seconds",
            "The longest such time since the start.",
        )?;
        registry.register(Box::new(longest.clone()))?;
        Ok(StallMetrics { current, longest })
    }

    fn set(&self, status: &AdmissionStatus) {
        self.current.set(status.stalled_for.as_secs_f64());
        self.longest.set(status.longest_stall.as_secs_f64());
    }
}

impl AdmissionMetrics {
    pub(super) fn register(
        registry: &Registry,
        classes: &[String],
    ) -> prometheus::Result<AdmissionMetrics> {
        let gauge = |name: &str, help: &str| {
            let gauge = Gauge::new(name, help)?;
            registry.register(Box::new(gauge.clone())).map(|()| gauge)
        };
        let counters = |name: &str, help: &str, labels: &[&str]| {
            let counters = IntCounterVec::new(Opts::new(name, help), labels)?;
            registry
                .register(Box::new(counters.clone()))
                .map(|()| counters)
        };
        let admitted_fraction = gauge(
            "router_admitted_fraction",
            "Fraction of requests that admission control admits, the lowest of all models.",
        )?;
        admitted_fraction.set(1.0);
        let mature_servers = IntGauge::new(
            "router_mature_servers",
            "Model servers that take requests from this router now.",
        )?;
        registry.register(Box::new(mature_servers.clone()))?;
        let misses = counters(
            "router_admission_misses",
            "Requests whose first token was not in time, by cause.",
            &["cause"],
        )?;
        let unserved = counters(
            "router_unserved",
            "Requests rejected or failed, by reason.",
            &["reason"],
        )?;
        let by_class = counters(
            "router_refusals",
            "Requests rejected or failed, by class, reason and whether a server was available.",
            &["group", "reason", "servers"],
        )?;
        let counters_of = |class: &String| {
            UnservedReason::LABELS.map(|reason| {
                AVAILABILITY_LABELS
                    .map(|servers| by_class.with_label_values(&[class.as_str(), reason, servers]))
            })
        };
        Ok(AdmissionMetrics {
            admitted_fraction,
            miss_rate: gauge(
                "router_miss_rate",
                "Weighted fraction of recent first tokens that were not in time.",
            )?,
            mature_servers,
            stall: StallMetrics::register(registry)?,
            misses: MissCause::LABELS.map(|label| misses.with_label_values(&[label])),
            unserved: UnservedReason::LABELS.map(|label| unserved.with_label_values(&[label])),
            by_class: classes.iter().map(counters_of).collect(),
        })
    }

    pub(super) fn record_unserved(&self, unserved: UnservedRequest) {
        let reason = unserved.reason as usize;
        self.unserved[reason].inc();
        if let Some(counters) = self.by_class.get(unserved.class as usize) {
            counters[reason][usize::from(unserved.available_servers > 0)].inc();
        }
    }

    pub(super) fn set_status(&self, status: &AdmissionStatus) {
        self.admitted_fraction.set(status.admitted_fraction);
        self.miss_rate.set(status.miss_rate);
        self.mature_servers.set(gauge_value(status.mature_replicas));
        self.stall.set(status);
        for (counter, &total) in self.misses.iter().zip(&status.misses) {
            counter.inc_by(total.saturating_sub(counter.get()));
        }
    }
}
