//! The rule that each request gets one final answer in time.

use super::fault_windows::any_active;
use crate::record::{RequestOutcome, RequestRecord, RunRecord};
use crate::scenario::{Action, LinkFault};

/// Maximum time between the client's timeout and the final answer, in milliseconds; a request whose
/// answer arrives later counts as lost.
const ANSWER_GRACE_MS: u64 = 500;

/// Describes the requests that got no final answer in time although neither their router nor the
/// clients' link to it had a fault while they were in flight. A stream that has begun may end early
/// if the link to its server was cut: nothing else can complete it.
pub fn lost_requests(record: &RunRecord) -> Vec<String> {
    record
        .requests
        .iter()
        .filter(|request| is_unanswered(record, request))
        .filter(|request| !met_router_fault(record, request) && !met_stream_cut(record, request))
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
        RequestOutcome::TimedOut | RequestOutcome::ConnectionLost | RequestOutcome::StreamBroken
    );
    late || without_answer
}

/// Whether the request's router was suspended or killed, or the clients' link to it had a fault,
/// while the request was in flight.
fn met_router_fault(record: &RunRecord, request: &RequestRecord) -> bool {
    let ended_at_ms = request.sent_at_ms + request.elapsed_ms;
    any_active(&record.schedule, request.sent_at_ms..=ended_at_ms, |step| {
        let affects_router = matches!(
            step.action,
            Action::SuspendRouter | Action::KillRouter | Action::ClientLink(_)
        );
        affects_router && step.target.router == request.router
    })
}

/// Whether the request's stream broke while the link to the server of its last attempt was closing
/// connections.
fn met_stream_cut(record: &RunRecord, request: &RequestRecord) -> bool {
    let mut attempts = record.attempts.iter();
    let last = attempts.rfind(|attempt| attempt.trace_id == request.trace_id);
    let Some(last) = last.filter(|_| request.outcome == RequestOutcome::StreamBroken) else {
        return false;
    };
    let ended_at_ms = request.sent_at_ms + request.elapsed_ms;
    any_active(
        &record.schedule,
        last.received_at_ms..=ended_at_ms,
        |step| {
            let cuts = matches!(
                step.action,
                Action::ServerLink(LinkFault::Disconnect | LinkFault::DisconnectPercent(_))
            );
            cuts && step.target.router == request.router && step.target.server == last.server
        },
    )
}
