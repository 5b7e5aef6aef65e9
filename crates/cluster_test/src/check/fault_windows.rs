//! The times in which the actions of a schedule are in force.

use std::ops::RangeInclusive;

use crate::scenario::{Action, ScheduledStep};

/// What may pass between the scheduled time and the action itself on a busy machine, in
/// milliseconds.
const SLACK_MS: u64 = 100;
/// How long a killed process takes until it is ready again, in milliseconds.
const RESTART_MS: u64 = 1_000;

/// Whether an action that `concerns` selects is in force at some time of the period, which is in
/// milliseconds since the run's start.
pub(super) fn any_in_force(
    schedule: &[ScheduledStep],
    period_ms: RangeInclusive<u64>,
    concerns: impl Fn(&ScheduledStep) -> bool,
) -> bool {
    schedule
        .iter()
        .filter(|step| step.is_start && concerns(step))
        .any(|start| {
            start.at_ms <= period_ms.end() + SLACK_MS
                && in_force_until(schedule, start) >= *period_ms.start()
        })
}

/// When the effects of an action are over, in milliseconds; never for one without an end.
fn in_force_until(schedule: &[ScheduledStep], start: &ScheduledStep) -> u64 {
    let aftermath_ms = match start.action {
        Action::KillRouter => RESTART_MS,
        _ => SLACK_MS,
    };
    schedule
        .iter()
        .find(|step| is_end_of(step, start))
        .map_or(u64::MAX, |end| end.at_ms + aftermath_ms)
}

fn is_end_of(step: &ScheduledStep, start: &ScheduledStep) -> bool {
    let same = step.action == start.action && step.target == start.target;
    same && !step.is_start && step.at_ms >= start.at_ms
}
