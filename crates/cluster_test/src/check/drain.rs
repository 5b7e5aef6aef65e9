//! The rule that a draining server gets no new attempts from a router that knows of the drain.

use super::fault_windows::any_in_force;
use crate::record::{AttemptRecord, RunRecord};
use crate::router_config::STALENESS_BOUND_MS;
use crate::scenario::{Action, LinkFault, ScheduledStep};

/// How long after it knows of a drain a router may still send to the server, in milliseconds:
/// `drain-grace` of the settings and the protocol's slack.
const DRAIN_GRACE_MS: u64 = 500 + 50;
/// How long after the fault of a watch a router must treat the watch as broken, in milliseconds:
/// from then on it counts as notified.
const SILENT_WATCH_MS: u64 = 6_000;

/// Describes the attempts that a router sent to a server of whose drain it knew.
pub fn attempts_after_drain(record: &RunRecord) -> Vec<String> {
    record
        .attempts
        .iter()
        .filter(|attempt| is_after_drain(record, attempt))
        .map(|attempt| {
            format!(
                "{}: router {} to draining server {} at {} ms",
                attempt.trace_id, attempt.router, attempt.server, attempt.received_at_ms
            )
        })
        .collect()
}

fn is_after_drain(record: &RunRecord, attempt: &AttemptRecord) -> bool {
    drain_known_at(record, attempt)
        .is_some_and(|known_at_ms| attempt.received_at_ms > known_at_ms + DRAIN_GRACE_MS)
}

/// When the process that made an attempt counts as knowing that the server drains, in
/// milliseconds; `None` where it doesn't.
///
/// That is when discovery wrote it on a link that was free of faults, or when a silent watch
/// counts as broken. A process that was restarted begins with the list in its configuration, until
/// it is notified or its list is as stale as the settings allow.
fn drain_known_at(record: &RunRecord, attempt: &AttemptRecord) -> Option<u64> {
    let drained_at_ms = record
        .schedule
        .iter()
        .find(|step| step.action == Action::DrainServer && step.target.server == attempt.server)?
        .at_ms;
    let restarted_at_ms = last_restart(record, attempt);
    let stale_at_ms = restarted_at_ms
        .map(|restarted_at_ms| restarted_at_ms.max(drained_at_ms) + STALENESS_BOUND_MS);
    [
        notified_at(record, attempt, restarted_at_ms),
        watch_broken_at(record, attempt.router, drained_at_ms, restarted_at_ms),
        stale_at_ms,
    ]
    .into_iter()
    .flatten()
    .min()
}

/// When the attempt's router was last restarted before the attempt.
fn last_restart(record: &RunRecord, attempt: &AttemptRecord) -> Option<u64> {
    let is_restart = |step: &&ScheduledStep| {
        step.action == Action::KillRouter && !step.is_start && step.target.router == attempt.router
    };
    record
        .schedule
        .iter()
        .filter(is_restart)
        .map(|step| step.at_ms)
        .filter(|at_ms| *at_ms <= attempt.received_at_ms)
        .max()
}

/// When the router was notified of the drain in its present process, by a link free of faults.
fn notified_at(
    record: &RunRecord,
    attempt: &AttemptRecord,
    restarted_at_ms: Option<u64>,
) -> Option<u64> {
    record
        .drain_notifications
        .iter()
        .filter(|sent| sent.router == attempt.router && sent.server == attempt.server)
        .map(|sent| sent.sent_at_ms)
        .filter(|at_ms| is_since(*at_ms, restarted_at_ms))
        .filter(|at_ms| !is_discovery_cut_off(record, attempt.router, *at_ms))
        .min()
}

/// When the router must have noticed that its watch is broken, for faults that began before the
/// drain.
fn watch_broken_at(
    record: &RunRecord,
    router: usize,
    drained_at_ms: u64,
    restarted_at_ms: Option<u64>,
) -> Option<u64> {
    let is_fault_start = |step: &&ScheduledStep| {
        matches!(step.action, Action::DiscoveryLink(_))
            && step.is_start
            && step.target.router == router
    };
    record
        .schedule
        .iter()
        .filter(is_fault_start)
        .map(|step| step.at_ms)
        .filter(|at_ms| *at_ms <= drained_at_ms && is_since(*at_ms, restarted_at_ms))
        .map(|at_ms| drained_at_ms.max(at_ms) + SILENT_WATCH_MS)
        .max()
}

fn is_since(at_ms: u64, restarted_at_ms: Option<u64>) -> bool {
    restarted_at_ms.is_none_or(|restarted_at_ms| at_ms >= restarted_at_ms)
}

/// Whether what discovery writes at that time may not reach the router.
fn is_discovery_cut_off(record: &RunRecord, router: usize, at_ms: u64) -> bool {
    any_in_force(&record.schedule, at_ms..=at_ms, |step| {
        let Action::DiscoveryLink(fault) = step.action else {
            return false;
        };
        step.target.router == router && stops_responses(fault)
    })
}

fn stops_responses(fault: LinkFault) -> bool {
    match fault {
        LinkFault::Stall
        | LinkFault::StallResponses
        | LinkFault::Disconnect
        | LinkFault::DisconnectPercent(_) => true,
        LinkFault::StallRequests | LinkFault::Delay(_) => false,
    }
}
