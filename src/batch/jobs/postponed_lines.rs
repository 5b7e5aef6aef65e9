//! The lines of a batch that wait for their budget to be refilled.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use tokio::time::sleep_until;

use super::pending_line::PendingLine;

/// The minimum time between two checks of an exhausted budget.
const MIN_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// The maximum time between two checks of an exhausted budget. Its capacity may return before it is
/// refilled: when a request releases its reservation, or when a new configuration raises the limit.
const MAX_CHECK_INTERVAL: Duration = Duration::from_secs(5);

/// Lines that exceeded a budget, in the order in which they are submitted again. They are kept
/// without their text, which is read again. No line of the batch is started until the next check of
/// the budget, so there are never more of them than lines in flight.
#[derive(Default)]
pub(super) struct PostponedLines {
    lines: VecDeque<PendingLine>,
    /// When the budget is checked next by starting a line.
    next_check: Option<Instant>,
    /// Whether no line has ended with an outcome since one exceeded a budget.
    is_exhausted: bool,
}

impl PostponedLines {
    /// Adds a line that exceeded a budget. Returns whether the budget was not known to be
    /// exhausted.
    pub(super) fn push(&mut self, line: PendingLine, refill_in: Duration) -> bool {
        let check_in = refill_in.clamp(MIN_CHECK_INTERVAL, MAX_CHECK_INTERVAL);
        self.next_check = Some(Instant::now() + check_in);
        self.lines.push_back(line);
        !std::mem::replace(&mut self.is_exhausted, true)
    }

    /// Notes that a line has ended, which may have released a part of its reservation.
    pub(super) fn line_ended(&mut self) {
        self.is_exhausted = false;
        let earliest = Instant::now() + MIN_CHECK_INTERVAL;
        self.next_check = self.next_check.map(|at| at.min(earliest));
    }

    /// Puts a line back to the front.
    pub(super) fn push_front(&mut self, line: PendingLine) {
        self.lines.push_front(line);
    }

    /// Removes the first line.
    pub(super) fn pop(&mut self) -> Option<PendingLine> {
        self.lines.pop_front()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.lines.is_empty()
    }

    /// Waits until lines may be started. Cancel safe.
    pub(super) async fn wait_for_check(&self) {
        if let Some(at) = self.next_check {
            sleep_until(at.into()).await;
        }
    }
}
