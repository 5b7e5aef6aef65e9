//! The rule that each request gets its one final answer in time.

use super::fault_windows::any_in_force;
use crate::record::{RequestOutcome, RequestRecord, RunRecord};
use crate::scenario::Action;

/// A final answer may come this much after the client's timeout at the latest; then the request
/// counts as lost. In milliseconds.
const ANSWER_GRACE_MS: u64 = 500;

/// Describes the requests that got no final answer in time, although their router and the clients'
/// link to it were free of faults meanwhile.
pub fn lost_requests(record: &RunRecord) -> Vec<String> {
    record
        .requests
        .iter()
        .filter(|request| is_unanswered(record, request) && !is_excused(record, request))
        .map(|request| {
            format!(
                "{}: {:?} after {} ms",
                request.trace_id, request.outcome, request.elapsed_ms
            )
        })
        .collect()
}

fn is_unanswered(record: &RunRecord, request: &RequestRecord) -> bool {
    let late = request.elapsed_ms > record.client_timeout_ms + ANSWER_GRACE_MS;
    let without_answer = matches!(
        request.outcome,
        RequestOutcome::TimedOut | RequestOutcome::ConnectionLost
    );
    late || without_answer
}

/// Whether the request's router was suspended or killed, or the clients' link to it had a fault,
/// while the request was in flight.
fn is_excused(record: &RunRecord, request: &RequestRecord) -> bool {
    let ended_at_ms = request.sent_at_ms + request.elapsed_ms;
    any_in_force(&record.schedule, request.sent_at_ms..=ended_at_ms, |step| {
        let disturbs = matches!(
            step.action,
            Action::SuspendRouter | Action::KillRouter | Action::ClientLink(_)
        );
        disturbs && step.target.router == request.router
    })
}
