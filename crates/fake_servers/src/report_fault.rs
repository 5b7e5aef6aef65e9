//! The faults of a model server's load reports.

use std::time::Duration;

/// A fault of a server's load reports. The server answers requests as usual.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ReportFault {
    /// No fault.
    #[default]
    None,
    /// The response contains no report.
    Missing,
    /// The response is sent after this time.
    Late(Duration),
    /// The report stays as it was at the first response.
    Frozen,
    /// The response is text that is no report.
    Garbled,
    /// The report's values are far out of range.
    Absurd,
    /// The report says that the server has served 10,000 requests per second.
    Boasting,
    /// The response has the status 500.
    Failing,
    /// There is no response.
    Unanswered,
}

impl ReportFault {
    /// All kinds of faults.
    pub const ALL: [ReportFault; 8] = [
        ReportFault::Missing,
        ReportFault::Late(Duration::from_millis(300)),
        ReportFault::Frozen,
        ReportFault::Garbled,
        ReportFault::Absurd,
        ReportFault::Boasting,
        ReportFault::Failing,
        ReportFault::Unanswered,
    ];
}
