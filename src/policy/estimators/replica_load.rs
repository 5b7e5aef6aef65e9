//! The last load report of each replica, and its age. `health_checks` decides when reports are
//! requested.

use crate::interface::{LoadReport, Span, Timestamp};

/// Number of reports, of all replicas together, that the fleet's means cover.
const RECENT_REPORTS: usize = 32;
/// Fraction of the recent reports that is left out at each end, lowest and highest, before the
/// fleet's means are computed, so that no single replica determines them.
const TRIMMED_FRACTION: f64 = 1.0 / 3.0;
/// Weight of the fleet's mean relative to a report's own values, as a fraction of the fleet's mean
/// requests per second. It limits the effect of a report from a replica that served almost nothing.
const PRIOR_THROUGHPUT_FRACTION: f64 = 0.5;
/// Lower bound of that weight, in requests per second. Reports cover about a second, so that a
/// count of one or two requests is mostly chance.
const MIN_PRIOR_THROUGHPUT: f64 = 2.0;
/// Bounds of a replica's slowness. A report makes a replica less attractive, but never unusable. It
/// makes a replica look faster to a lesser degree than slower, because a replica that wrongly looks
/// fast attracts requests, whereas others can take those of one that wrongly looks slow.
const MIN_SLOWNESS: f64 = 0.5;
const MAX_SLOWNESS: f64 = 8.0;
/// Time after which a report that has not arrived is requested again: twice the timeout of a health
/// check (0.4 s).
const REPORT_TIMEOUT: Span = Span::from_millis(800);
/// Reported requests and errors per second must be below this limit to be valid; no machine serves
/// as many.
const MAX_VALID_RATE: f64 = 1e5;
/// A reported utilization must be below this limit to be valid. It is above 1 because reports are
/// inexact.
const MAX_VALID_UTILIZATION: f64 = 2.0;

/// The last load report of a replica.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReplicaLoad {
    /// When the replica last answered a health check; zero before the first answer.
    answered_at: Timestamp,
    /// When the awaited report was requested; zero if no report is awaited.
    requested_at: Timestamp,
    /// The fraction of the replica's slots in use, from 0 to 1.
    utilization: f64,
    /// Requests served per second.
    throughput: f64,
    /// When `utilization` and `throughput` were reported; zero before the first report.
    reported_at: Timestamp,
    /// The fraction of the replica's answers that were errors, from 0 to 1.
    error_rate: f64,
}

/// Means over the recent reports of all replicas.
#[derive(Clone, Copy, Debug, Default)]
pub struct FleetLoadMeans {
    utilizations: RecentValues,
    throughputs: RecentValues,
    utilization: f64,
    throughput: f64,
}

/// The last [`RECENT_REPORTS`] values of a kind.
#[derive(Clone, Copy, Debug, Default)]
struct RecentValues {
    values: [f64; RECENT_REPORTS],
    /// Number of values that were recorded so far.
    recorded: usize,
}

impl RecentValues {
    fn record(&mut self, value: f64) {
        self.values[self.recorded % RECENT_REPORTS] = value;
        self.recorded += 1;
    }

    /// The mean of the values without the lowest and the highest ones; 0 if there is no value.
    fn trimmed_mean(&self) -> f64 {
        let count = self.recorded.min(RECENT_REPORTS);
        let mut sorted = self.values;
        let sorted = &mut sorted[..count];
        sorted.sort_unstable_by(f64::total_cmp);
        let trimmed = (count as f64 * TRIMMED_FRACTION) as usize;
        let middle = &sorted[trimmed..count - trimmed];
        middle.iter().sum::<f64>() / middle.len().max(1) as f64
    }
}

impl FleetLoadMeans {
    fn record(&mut self, utilization: f64, throughput: f64) {
        self.utilizations.record(utilization);
        self.throughputs.record(throughput);
        self.utilization = self.utilizations.trimmed_mean();
        self.throughput = self.throughputs.trimmed_mean();
    }

    /// The mean time that a request occupies all slots of a replica, in seconds; `None` if the
    /// reports don't show any use or any request served.
    fn request_time(&self) -> Option<f64> {
        let has_load = self.utilization > 0.0 && self.throughput > 0.0;
        has_load.then(|| self.utilization / self.throughput)
    }
}

impl ReplicaLoad {
    /// Records an answer to a health check. Values that are missing or out of range leave the
    /// previous values unchanged.
    ///
    /// Requests in flight divided by requests served per second is the mean time that a request
    /// takes (Little's law), whatever fraction of all traffic the replica gets: a slow replica
    /// fills its slots and serves few requests. Reports give the fraction of slots in use instead
    /// of the number of requests in flight, so only the ratio to the fleet's mean is meaningful.
    pub fn record(
        &mut self,
        report: Option<LoadReport>,
        fleet: &mut FleetLoadMeans,
        now: Timestamp,
    ) {
        self.answered_at = now;
        self.requested_at = Timestamp::ZERO;
        let Some(report) = report else { return };
        let utilization = valid_value(report.utilization, MAX_VALID_UTILIZATION);
        let throughput = valid_value(report.served_per_second, MAX_VALID_RATE);
        let (Some(utilization), Some(throughput)) = (utilization, throughput) else {
            return;
        };
        fleet.record(utilization, throughput);
        if let Some(errors) = valid_value(report.errors_per_second, MAX_VALID_RATE) {
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

    /// Records that the requested report will not arrive.
    pub fn mark_failed(&mut self) {
        self.requested_at = Timestamp::ZERO;
    }

    /// Whether a report is awaited. A report that doesn't arrive is awaited for no longer than
    /// [`REPORT_TIMEOUT`]; otherwise it would never be requested again.
    pub fn is_awaited(&self, now: Timestamp) -> bool {
        !self.requested_at.is_zero() && now - self.requested_at < REPORT_TIMEOUT
    }

    /// Whether the replica answered a health check less than `age` ago.
    pub fn is_recent(&self, now: Timestamp, age: Span) -> bool {
        !self.answered_at.is_zero() && now - self.answered_at < age
    }

    /// The fraction of the replica's answers that were errors, from 0 to 1.
    pub fn error_rate(&self) -> f64 {
        self.error_rate
    }

    /// The time that a request takes at the replica, as a multiple of the fleet's mean, from
    /// [`MIN_SLOWNESS`] to [`MAX_SLOWNESS`]. It is 1 without a report, and decays back to 1 as the
    /// report grows older than `decay_seconds`.
    pub fn slowness(&self, fleet: &FleetLoadMeans, now: Timestamp, decay_seconds: f64) -> f64 {
        let Some(request_time) = fleet.request_time().filter(|_| !self.reported_at.is_zero())
        else {
            return 1.0;
        };
        let prior_throughput =
            (PRIOR_THROUGHPUT_FRACTION * fleet.throughput).max(MIN_PRIOR_THROUGHPUT);
        let slowness = (self.utilization + prior_throughput * request_time)
            / (self.throughput + prior_throughput)
            / request_time;
        slowness
            .clamp(MIN_SLOWNESS, MAX_SLOWNESS)
            .powf((-(now - self.reported_at).as_secs_f64() / decay_seconds).exp())
    }
}

/// A value of a report, if it was reported and is in range.
fn valid_value(value: Option<f32>, limit: f64) -> Option<f64> {
    value
        .map(f64::from)
        .filter(|value| (0.0..limit).contains(value))
}

#[cfg(test)]
mod tests;
