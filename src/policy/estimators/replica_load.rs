//! The load reports of replicas: what the last one of each showed, and how old it is. When reports
//! are requested is decided in `health_checks`.

use super::running_mean;
use crate::interface::{LoadReport, Span, Timestamp};

/// Weight of a new report in the fleet's means: about the last 32 count. Value: a design choice,
/// not measured alone.
const SAMPLE_WEIGHT: f64 = 1.0 / 32.0;
/// The weight of the fleet's mean beside a report's own values: requests a second, as a fraction of
/// the mean over reports. Value: a design choice, so that the ratio of a replica which served next
/// to nothing weighs little.
const PRIOR_THROUGHPUT_FRACTION: f64 = 0.5;
/// A report that has not come after this time is requested again. Value: a health check's time-out
/// (0.4 s) and as long again.
const REPORT_TIMEOUT: Span = Span::from_millis(800);
/// Values of a report from this on count as unreadable. Value: beyond any load of one machine.
const MAX_READABLE_VALUE: f64 = 1e9;

/// The last load report of a replica.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReplicaLoad {
    /// When the replica last answered a health check; zero before the first answer.
    answered_at: Timestamp,
    /// When the awaited report was requested; zero where none is awaited.
    requested_at: Timestamp,
    /// The fraction of its slots in use, from 0 to 1.
    utilization: f64,
    /// Its requests served a second.
    throughput: f64,
    /// When it reported these two; zero before the first time.
    reported_at: Timestamp,
    /// The fraction of its answers that were errors.
    error_rate: f64,
}

/// Running means over the reports of all replicas.
#[derive(Clone, Copy, Debug, Default)]
pub struct FleetLoadMeans {
    utilization: f64,
    throughput: f64,
}

impl ReplicaLoad {
    /// Records an answer to a health check. Metrics that are missing, unreadable or out of range
    /// leave what was known before.
    ///
    /// Requests in flight over requests served a second is how long one stays (Little's law),
    /// whatever fraction of all traffic the replica has: a slow one fills its slots and serves few.
    /// Reports give the fraction of the slots, so only the ratio to the fleet's mean counts.
    pub fn record(
        &mut self,
        report: Option<LoadReport>,
        fleet: &mut FleetLoadMeans,
        now: Timestamp,
    ) {
        self.answered_at = now;
        self.requested_at = Timestamp::ZERO;
        let Some(report) = report else { return };
        let (Some(utilization), Some(throughput)) = (
            readable(report.utilization),
            readable(report.served_per_second),
        ) else {
            return;
        };
        running_mean::update(&mut fleet.utilization, utilization, SAMPLE_WEIGHT);
        running_mean::update(&mut fleet.throughput, throughput, SAMPLE_WEIGHT);
        if let Some(errors) = readable(report.errors_per_second) {
            self.error_rate = errors / (errors + throughput).max(1.0);
        }
        self.utilization = utilization;
        self.throughput = throughput;
        self.reported_at = now;
    }

    /// Records that a report was requested.
    pub fn mark_requested(&mut self, now: Timestamp) {
        self.requested_at = now;
    }

    /// Records that the requested report will not come.
    pub fn mark_failed(&mut self) {
        self.requested_at = Timestamp::ZERO;
    }

    /// Whether a report is awaited. One that never comes is not awaited for longer than
    /// [`REPORT_TIMEOUT`], or it would never be requested again.
    pub fn is_awaited(&self, now: Timestamp) -> bool {
        !self.requested_at.is_zero() && now - self.requested_at < REPORT_TIMEOUT
    }

    /// Whether the replica answered a health check less than `age` ago.
    pub fn is_recent(&self, now: Timestamp, age: Span) -> bool {
        !self.answered_at.is_zero() && now - self.answered_at < age
    }

    /// The fraction of its answers that were errors, from 0 to 1.
    pub fn error_rate(&self) -> f64 {
        self.error_rate
    }

    /// How much longer requests stay there than at the fleet's mean: 1 where nothing is known, and
    /// again as the report grows older than `decay_seconds`.
    pub fn slowness(&self, fleet: &FleetLoadMeans, now: Timestamp, decay_seconds: f64) -> f64 {
        let prior_throughput = PRIOR_THROUGHPUT_FRACTION * fleet.throughput;
        let mean_stay = fleet.utilization / fleet.throughput;
        if self.reported_at.is_zero() || mean_stay.is_nan() || mean_stay <= 0.0 {
            return 1.0;
        }
        let slowness = (self.utilization + prior_throughput * mean_stay)
            / (self.throughput + prior_throughput)
            / mean_stay;
        slowness.powf((-(now - self.reported_at).as_secs_f64() / decay_seconds).exp())
    }
}

/// A value of a report, where it was reported and is in range.
fn readable(value: Option<f32>) -> Option<f64> {
    value
        .map(f64::from)
        .filter(|value| (0.0..MAX_READABLE_VALUE).contains(value))
}

#[cfg(test)]
mod tests;
