//! The rule that a router sends no new attempts to a server that it knows is draining.

use super::fault_windows::any_active;
use crate::record::{AttemptRecord, RunRecord};
use crate::router_config::STALENESS_BOUND_MS;
use crate::scenario::{Action, LinkFault, ScheduledStep};

/// Time in milliseconds for which a router may still send to a server after it learned that the
/// server is draining: `drain-grace` in the settings plus the protocol's tolerance.
const DRAIN_GRACE_MS: u64 = 500 + 50;
/// Time in milliseconds from a server's drain until a router must treat its watch as broken, if a
/// fault of its discovery link began before the drain. From then on the router counts as notified.
const WATCH_DETECTION_MS: u64 = 6_000;

/// Describes the attempts that a router sent to a server that it knew was draining.
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

/// When the process that made an attempt counts as knowing that the server is draining, in
/// milliseconds; `None` if it does not count as knowing.
///
/// It knows once discovery has sent the drain over a link without faults, or once a silent watch
/// counts as broken. A restarted process starts with the list in its configuration and may use it
/// until it is notified or the list reaches the maximum age in the settings.
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

/// When the router that sent the attempt was last restarted before it, in milliseconds.
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

/// When the router's current process was notified of the drain over a link without faults, in
/// milliseconds.
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
        .filter(|at_ms| is_after_restart(*at_ms, restarted_at_ms))
        .filter(|at_ms| !is_discovery_link_blocked(record, attempt.router, *at_ms))
        .min()
}

/// When the router must have detected that its watch is broken, in milliseconds. Considers only
/// faults that began before the drain and after the router's last restart; `None` if there is none.
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
        .filter(|at_ms| *at_ms <= drained_at_ms && is_after_restart(*at_ms, restarted_at_ms))
        .map(|at_ms| drained_at_ms.max(at_ms) + WATCH_DETECTION_MS)
        .max()
}

fn is_after_restart(at_ms: u64, restarted_at_ms: Option<u64>) -> bool {
    restarted_at_ms.is_none_or(|restarted_at_ms| at_ms >= restarted_at_ms)
}

/// Whether a fault may keep data that discovery sends at this time from reaching the router.
fn is_discovery_link_blocked(record: &RunRecord, router: usize, at_ms: u64) -> bool {
    any_active(&record.schedule, at_ms..=at_ms, |step| {
        let Action::DiscoveryLink(fault) = step.action else {
            return false;
        };
        step.target.router == router && blocks_responses(fault)
    })
}

fn blocks_responses(fault: LinkFault) -> bool {
    match fault {
        LinkFault::Stall
        | LinkFault::StallResponses
        | LinkFault::Disconnect
        | LinkFault::DisconnectPercent(_) => true,
        LinkFault::StallRequests | LinkFault::Delay(_) => false,
    }
}
