//! Naps: a process that was stopped, or got no processor, and wakes late. What it knows is as old as its nap is long.
//! Pure: time comes in as a value.

use std::time::{Duration, Instant};

/// The actor runs at least so often, so that a longer silence is a nap and not idleness.
pub const BEAT: Duration = Duration::from_millis(100);
/// What is slept beyond a beat before it counts. News wait for so long at the most, well within the drain bound (500 ms where
/// it is shortest): guards against taking a busy machine for a nap.
const NAP: Duration = Duration::from_millis(200);
/// Nothing is sent after a nap until the list has been told anew, for so long at the most: where discovery doesn't answer
/// the list that is held counts as before. A call beside it takes a few milliseconds; patience is a second and more.
const HOLD: Duration = Duration::from_millis(300);

/// Whether the process has napped, and whether it still has to hear of the list.
#[derive(Debug)]
pub struct Naps {
    ran: Instant,
    holds: Option<Instant>,
}

impl Naps {
    /// Awake at the start.
    pub fn new(now: Instant) -> Naps {
        Naps { ran: now, holds: None }
    }

    /// The actor runs. How long it has napped before, where it has: the list has to be asked for.
    pub fn runs(&mut self, now: Instant) -> Option<Duration> {
        let away = now.saturating_duration_since(self.ran);
        self.ran = now;
        let nap = (away >= BEAT + NAP).then_some(away);
        if nap.is_some() {
            self.holds = Some(now + HOLD);
        }
        nap
    }

    /// The list was told anew, or could not be.
    pub fn told(&mut self) {
        self.holds = None;
    }

    /// Whether nothing may be sent yet.
    pub fn holds(&self, now: Instant) -> bool {
        self.holds.is_some_and(|until| now < until)
    }

    /// When it has to run next, if nothing comes before.
    pub fn next(&self) -> Instant {
        let beat = self.ran + BEAT;
        self.holds.map_or(beat, |until| until.max(self.ran).min(beat))
    }
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;

    use super::*;

    proptest! {
        /// Beside an obvious model: after each gap of a nap's length nothing is sent until the list is told, or for `HOLD`.
        #[test]
        fn it_holds_after_each_nap_and_after_nothing_else(
            steps in prop::collection::vec((0u64..700, any::<bool>()), 1..100),
        ) {
            let start = Instant::now();
            let (mut naps, mut now, mut woke) = (Naps::new(start), start, None);
            for (ms, told) in steps {
                now += Duration::from_millis(ms);
                let nap = naps.runs(now);
                prop_assert_eq!(nap.is_some(), ms >= 300);
                if nap.is_some() {
                    woke = Some(now);
                }
                if told {
                    naps.told();
                    woke = None;
                }
                let holds = woke.is_some_and(|at| now - at < HOLD);
                prop_assert_eq!(naps.holds(now), holds);
                prop_assert!(naps.next() <= now + BEAT && naps.next() >= now);
            }
        }
    }
}
