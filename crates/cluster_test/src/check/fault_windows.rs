//! The periods in which the actions of a schedule are active.

use std::ops::RangeInclusive;

use crate::scenario::{Action, ScheduledStep};

/// Maximum delay between an action's scheduled time and its execution on a busy machine, in
/// milliseconds.
const MAX_DELAY_MS: u64 = 100;
/// Time that a killed process needs after its restart until it is ready, in milliseconds.
const RESTART_MS: u64 = 1_000;

/// Whether an action that `selects` accepts is active at any time in the period, which is given in
/// milliseconds since the run's start.
pub(super) fn any_active(
    schedule: &[ScheduledStep],
    period_ms: RangeInclusive<u64>,
    selects: impl Fn(&ScheduledStep) -> bool,
) -> bool {
    schedule
        .iter()
        .filter(|step| step.is_start && selects(step))
        .any(|start| {
            start.at_ms <= period_ms.end() + MAX_DELAY_MS
                && active_until(schedule, start) >= *period_ms.start()
        })
}

/// When the effects of an action end, in milliseconds; `u64::MAX` for an action without an end.
fn active_until(schedule: &[ScheduledStep], start: &ScheduledStep) -> u64 {
    let recovery_ms = match start.action {
        Action::KillRouter => RESTART_MS,
        _ => MAX_DELAY_MS,
    };
    schedule
        .iter()
        .find(|step| is_end_of(step, start))
        .map_or(u64::MAX, |end| end.at_ms + recovery_ms)
}

fn is_end_of(step: &ScheduledStep, start: &ScheduledStep) -> bool {
    let is_same_action = step.action == start.action && step.target == start.target;
    is_same_action && !step.is_start && step.at_ms >= start.at_ms
}
