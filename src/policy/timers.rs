//! When the balancer has to be called again though no event comes.

use super::balancer::Balancer;
use super::health_checks::REPORT_WAIT_PART;
use crate::interface::{Action, Span};

impl Balancer {
    /// The timer fired; one asked for since stays.
    pub(super) fn on_timer(&mut self) {
        self.timer = self.timer.filter(|&at| at > self.now);
    }

    /// Asks for a timer at the next moment when anything falls due, unless an earlier one is set.
    pub(super) fn schedule_timer(&mut self, out: &mut Vec<Action>) {
        let head = self.queue.first();
        // a queued request that no mature replica took: what it waits for may change soon
        let recheck =
            (self.shortest_token_interval / 2.0).min(REPORT_WAIT_PART * self.admission.objective());
        let recheck = head
            .filter(|_| self.maturity.any_mature())
            .map(|_| self.now + Span::from_secs_f64(recheck));
        let next_maturity = self.maturity.next().filter(|_| head.is_some());
        let next = [
            self.list_poll_timer.next(),
            recheck,
            head.map(|head| head.due),
            next_maturity,
        ];
        let at = next.into_iter().flatten().min();
        let Some(at) = at.map(|at| at.max(self.now + self.settings.step_interval)) else {
            return;
        };
        if self.timer.is_none_or(|set| set > at) {
            self.timer = Some(at);
            out.push(Action::SetTimer { at, timer_id: 0 });
        }
    }
}
