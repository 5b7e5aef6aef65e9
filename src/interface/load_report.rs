//! Load reports, which replicas send with answers and with health checks.

/// A kind of value in a load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadReportField {
    /// Number of requests in flight.
    InFlight,
    /// Number of queued requests.
    Queued,
    /// The fraction of the replica's slots in use, from 0 to 1.
    Utilization,
    /// Errors per second.
    ErrorsPerSecond,
    /// Requests served per second.
    ServedPerSecond,
    /// Any other value; no decision depends on it.
    Other,
}

impl LoadReportField {
    /// The field with a given name in the settings.
    pub fn from_name(name: &str) -> LoadReportField {
        match name {
            "outstanding" => LoadReportField::InFlight,
            "backlog" => LoadReportField::Queued,
            "utilization" => LoadReportField::Utilization,
            "errors_per_s" => LoadReportField::ErrorsPerSecond,
            "throughput" => LoadReportField::ServedPerSecond,
            _ => LoadReportField::Other,
        }
    }
}

/// Maximum number of values that a replica is asked to report, set by the platform's protocol.
pub const MAX_LOAD_REPORT_FIELDS: usize = 4;

/// A replica's load at the time of the report. A value that was not reported is `None`. Reported
/// values are not validated here: they can be infinite or NaN.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Number of requests in flight.
    pub in_flight: Option<f32>,
    /// Number of queued requests.
    pub queued: Option<f32>,
    /// The fraction of the replica's slots in use, from 0 to 1.
    pub utilization: Option<f32>,
    /// Errors per second.
    pub errors_per_second: Option<f32>,
    /// Requests served per second.
    pub served_per_second: Option<f32>,
}

impl LoadReport {
    /// Sets a value; [`LoadReportField::Other`] is ignored.
    pub fn set(&mut self, field: LoadReportField, value: f32) {
        let slot = match field {
            LoadReportField::InFlight => &mut self.in_flight,
            LoadReportField::Queued => &mut self.queued,
            LoadReportField::Utilization => &mut self.utilization,
            LoadReportField::ErrorsPerSecond => &mut self.errors_per_second,
            LoadReportField::ServedPerSecond => &mut self.served_per_second,
            LoadReportField::Other => return,
        };
        *slot = Some(value);
    }
}
