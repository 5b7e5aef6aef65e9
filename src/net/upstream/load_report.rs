//! Parsing of load reports in text form, which servers return in the response to a health check.

use crate::interface::{LoadReport, LoadReportField, MAX_LOAD_REPORT_FIELDS};

/// The name before the report if the server writes the report as a header line.
const HEADER: &str = "Endpoint-Load-Metrics:";

/// Parses a load report. `names` are the names of its values in the settings. Values with other
/// names and values that are no numbers are ignored. `None` if the text is not a load report.
pub(super) fn parse_load_report(text: &str, names: &[String]) -> Option<LoadReport> {
    let text = text.trim();
    let report_text = text
        .split_once(HEADER)
        .map_or(text, |(_, report)| report.trim());
    let fields = report_text.strip_prefix("TEXT")?;
    let names = &names[..names.len().min(MAX_LOAD_REPORT_FIELDS)];
    let mut report = LoadReport::default();
    for field in fields.split(',') {
        let Some((name, value)) = field.split_once('=') else {
            continue;
        };
        let name = name.trim();
        let known = names
            .iter()
            .find(|known| *known == name || short_name(known) == name);
        if let (Some(known), Ok(value)) = (known, value.trim().parse::<f32>()) {
            report.set(LoadReportField::from_name(known), value);
        }
    }
    Some(report)
}

/// The short name of a value, which some servers use.
fn short_name(name: &str) -> &str {
    match name {
        "outstanding" => "inflight",
        "backlog" => "queue",
        "utilization" => "util",
        "recent_ms" => "latency_ms",
        "throughput" => "qps",
        "errors_per_s" => "eps",
        other => other,
    }
}
