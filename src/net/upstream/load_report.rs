//! Load reports in the text form, as servers put them into the answer to a health check.

use crate::interface::Report;

/// The name that precedes the report where it comes as a header line.
const HEADER: &str = "Endpoint-Load-Metrics:";

/// Parses a load report; its values are in the order of `names`, as in the settings. None where the
/// text is no report; a value that is missing or no number is `NAN`.
pub(super) fn parse_load_report(text: &str, names: &[String]) -> Option<Report> {
    let text = text.trim();
    let report_text = text
        .split_once(HEADER)
        .map_or(text, |(_, report)| report.trim());
    let fields = report_text.strip_prefix("TEXT")?;
    let mut report: Report = [f32::NAN; 4];
    for field in fields.split(',') {
        let Some((name, value)) = field.split_once('=') else {
            continue;
        };
        let name = name.trim();
        let position = names
            .iter()
            .position(|known| known == name || short_name(known) == name)
            .filter(|&position| position < report.len());
        if let (Some(position), Ok(value)) = (position, value.trim().parse::<f32>()) {
            report[position] = value;
        }
    }
    Some(report)
}

/// The shorter name of a value, which some servers use.
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
