//! Load reports, which replicas send with answers and health checks.

/// A value of a load report, as the settings name it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadReportField {
    /// Requests in flight.
    InFlight,
    /// Requests queued.
    Queued,
    /// The fraction of the slots in use, from 0 to 1.
    Utilization,
    /// Errors a second.
    ErrorsPerSecond,
    /// Requests served a second.
    ServedPerSecond,
    /// A value that no decision depends on.
    Other,
}

impl LoadReportField {
    /// The value with a given name in the settings.
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

/// The most values that a replica is asked to report, by the platform's protocol.
pub const MAX_LOAD_REPORT_FIELDS: usize = 4;

/// A replica's load at the time of the report. A value that was not reported is `None`; reported
/// values may be anything a peer can write, infinite or not a number included.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests in flight.
    pub in_flight: Option<f32>,
    /// Requests queued.
    pub queued: Option<f32>,
    /// The fraction of the slots in use, from 0 to 1.
    pub utilization: Option<f32>,
    /// Errors a second.
    pub errors_per_second: Option<f32>,
    /// Requests served a second.
    pub served_per_second: Option<f32>,
}

impl LoadReport {
    /// Sets a value; a value that no decision depends on is dropped.
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
