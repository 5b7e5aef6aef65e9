//! The balancer's timer: when the balancer must be stepped again if no event arrives.

use super::balancer::Balancer;
use super::health_checks::REPORT_WAIT_FRACTION;
use crate::interface::{Action, Span};

impl Balancer {
    /// Clears the timer that fired. A timer set since then for a later time is kept.
    pub(super) fn on_timer_fired(&mut self) {
        self.timer = self.timer.filter(|&at| at > self.now);
    }

    /// Sets a timer for the next due time, unless a timer for an earlier time is set.
    pub(super) fn schedule_timer(&mut self, actions: &mut Vec<Action>) {
        let head = self.queue.first();
        // A queued request that no mature replica took is checked again soon.
        let recheck_seconds = (self.shortest_token_interval / 2.0)
            .min(REPORT_WAIT_FRACTION * self.admission.shortest_objective());
        let recheck = head
            .filter(|_| self.maturity.any_mature())
            .map(|_| self.now + Span::from_secs_f64(recheck_seconds));
        let next_maturity = self.maturity.next().filter(|_| head.is_some());
        let due_times = [
            self.list_poll_timer.next(),
            recheck,
            head.map(|head| head.due),
            next_maturity,
            self.next_progress(),
        ];
        let Some(earliest) = due_times.into_iter().flatten().min() else {
            return;
        };
        let at = earliest.max(self.now + self.settings.step_interval);
        if self.timer.is_none_or(|set| set > at) {
            self.timer = Some(at);
            actions.push(Action::SetTimer { at, timer_id: 0 });
        }
    }
}
