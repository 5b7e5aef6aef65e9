//! Checks the record of a run against the rules that routers must follow.

mod drain;
mod fault_windows;
mod lost_requests;

use std::collections::{HashMap, HashSet};

use crate::record::{AttemptRecord, RunRecord};

pub use drain::attempts_after_drain;
pub use lost_requests::lost_requests;

/// Maximum number of attempts for a request.
const MAX_ATTEMPTS: usize = 3;

/// Describes every violation of a rule in a run; empty if there was none.
pub fn violations(record: &RunRecord) -> Vec<String> {
    let mut violations = attempt_violations(record);
    if record.overlapping_attempts > 0 {
        violations.push(format!(
            "{} attempts began while another attempt of the same request was running",
            record.overlapping_attempts
        ));
    }
    let crashes = record.crashed_routers.iter();
    violations.extend(crashes.map(|router| format!("router {router} exited without being killed")));
    violations.extend(lost_requests(record));
    violations.extend(attempts_after_drain(record));
    violations
}

/// Describes requests with too many attempts, and attempts of requests that no client sent.
fn attempt_violations(record: &RunRecord) -> Vec<String> {
    let mut by_request: HashMap<&str, Vec<&AttemptRecord>> = HashMap::new();
    for attempt in &record.attempts {
        by_request
            .entry(&attempt.trace_id)
            .or_default()
            .push(attempt);
    }
    let sent: HashSet<&str> = record
        .requests
        .iter()
        .map(|request| request.trace_id.as_str())
        .collect();
    let mut violations = Vec::new();
    for (trace_id, attempts) in by_request {
        if attempts.len() > MAX_ATTEMPTS {
            violations.push(format!("{trace_id}: {} attempts", attempts.len()));
        }
        if !sent.contains(trace_id) {
            violations.push(format!("{trace_id}: forwarded, but no client sent it"));
        }
    }
    violations
}

#[cfg(test)]
mod tests;
