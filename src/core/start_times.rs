//! When model servers started, on this process's clock, computed from the times that the endpoint
//! list states.
//!
//! The list states a start (`up_since_ms`) as a reading of the platform's wall clock. This
//! process's clock is its wall clock as it read at the process's start, and monotonic from then on
//! ([`Clock`](super::Clock)). The two differ where one of them was stepped in between.
//! [`StartTimes`] corrects a stated start by what must hold of it: it is not in the future, and a
//! server that joins the list in a change started after the list that did not have it yet. Starts
//! that agree with this are left as stated. `docs/design/clocks.md` has the rule and its limits.
//!
//! It owns the starts of the listed servers and of those that left lately. Pure: time is passed in;
//! slow start itself is decided elsewhere.

use rustc_hash::FxHashMap;

use crate::interface::{EndpointListKind, EndpointState, ReplicaEntry, ReplicaId, Span, Timestamp};
use crate::lru::LruMap;

/// While the list is watched, a server's start is reported to this process within this time (10 s).
const MAX_REPORT_DELAY: Span = Span::from_secs(10);
/// After a failed call the list may be out of date for this time (30 s).
const RECOVERY_TIME: Span = Span::from_secs(30);

/// A server's start.
#[derive(Clone, Copy, Debug, Default)]
struct Start {
    /// As the list states it.
    stated: Timestamp,
    /// On this process's clock.
    corrected: Timestamp,
}

/// Up to when the list is known to have been up to date.
#[derive(Debug, Default)]
struct ListFreshness {
    /// The last call failed, or its watch broke.
    interrupted: bool,
    /// Until then the list may still be out of date.
    recovered_at: Timestamp,
    /// When the list was last up to date, except for changes within [`MAX_REPORT_DELAY`].
    up_to_date_at: Option<Timestamp>,
}

impl ListFreshness {
    /// An update came from discovery.
    fn record_update(&mut self, now: Timestamp) {
        if std::mem::take(&mut self.interrupted) {
            self.recovered_at = now + RECOVERY_TIME;
        }
        if self.up_to_date_at.is_none() || now >= self.recovered_at {
            self.up_to_date_at = Some(now);
        }
    }

    /// The earliest start of a server that was not in the list so far; none where that is not
    /// known.
    fn earliest_join(&self) -> Option<Timestamp> {
        self.up_to_date_at.map(|up_to_date_at| {
            Timestamp::from_micros(
                up_to_date_at
                    .as_micros()
                    .saturating_sub(MAX_REPORT_DELAY.as_micros()),
            )
        })
    }
}

/// The model servers' starts on this process's clock.
#[derive(Debug, Default)]
pub(crate) struct StartTimes {
    listed: FxHashMap<ReplicaId, Start>,
    /// Servers that have left the list: one that comes back with the start it had did not restart.
    removed: LruMap<ReplicaId, Start>,
    freshness: ListFreshness,
    /// How far the platform's clock is ahead of this process's at least, as first lists have shown.
    min_clock_lead: Span,
}

impl StartTimes {
    /// Processes an update of the list: replaces the stated starts by the corrected ones. A start
    /// of zero, which means long ago, stays.
    pub(crate) fn correct<'a>(
        &mut self,
        kind: EndpointListKind,
        entries: impl Iterator<Item = &'a mut ReplicaEntry>,
        now: Timestamp,
    ) {
        if kind == EndpointListKind::Error {
            self.freshness.interrupted = true;
            return;
        }
        let mut entries: Vec<&mut ReplicaEntry> = entries.collect();
        let earliest = self.earliest(kind, &entries, now);
        let mut changed = entries.is_empty() && !self.listed.is_empty();
        let complete = matches!(
            kind,
            EndpointListKind::Complete | EndpointListKind::Persisted
        );
        let previous = if complete {
            std::mem::take(&mut self.listed)
        } else {
            FxHashMap::default()
        };
        for (replica, start) in previous {
            self.removed.insert(replica, start);
        }
        for entry in &mut entries {
            changed |= self.known_start(entry).is_none() || self.is_removal(entry);
            self.correct_entry(entry, earliest, now);
        }
        // A change that repeats what is known need not come from discovery, and does not show that
        // the rest of the list is up to date.
        if kind == EndpointListKind::Complete || (kind == EndpointListKind::Partial && changed) {
            self.freshness.record_update(now);
        }
    }

    /// The earliest start of a server that joins with this update; none where it may have started
    /// at any time.
    fn earliest(
        &mut self,
        kind: EndpointListKind,
        entries: &[&mut ReplicaEntry],
        now: Timestamp,
    ) -> Option<Timestamp> {
        let bound = self
            .freshness
            .earliest_join()
            .filter(|_| kind != EndpointListKind::Persisted);
        let joins = || {
            entries
                .iter()
                .filter(|entry| !entry.started_at.is_zero() && self.known_start(entry).is_none())
        };
        let earlier = |bound: Timestamp| {
            joins()
                .filter(|entry| self.on_this_clock(entry.started_at) < bound)
                .count()
        };
        // A complete list that is mostly new is the list of another fleet: its servers have not all
        // restarted at once.
        let is_replaced = |bound: &Timestamp| {
            kind == EndpointListKind::Complete && earlier(*bound) > entries.len() / 2
        };
        let bound = bound.filter(|bound| !is_replaced(bound));
        if bound.is_none()
            && let Some(newest) = joins().map(|entry| entry.started_at).max()
        {
            self.min_clock_lead = self.min_clock_lead.max(newest - now);
        }
        bound
    }

    /// The start known for a server, where the list states the same one again.
    fn known_start(&self, entry: &ReplicaEntry) -> Option<Start> {
        let start = self
            .listed
            .get(&entry.replica)
            .copied()
            .or_else(|| self.removed.get(&entry.replica))?;
        (start.stated == entry.started_at).then_some(start)
    }

    /// Whether the entry takes a listed server out of the list.
    fn is_removal(&self, entry: &ReplicaEntry) -> bool {
        entry.state == EndpointState::Removed && self.listed.contains_key(&entry.replica)
    }

    /// A stated start by what is known of the platform's clock. Never zero, which means long ago.
    fn on_this_clock(&self, stated: Timestamp) -> Timestamp {
        Timestamp::from_micros(
            stated
                .as_micros()
                .saturating_sub(self.min_clock_lead.as_micros())
                .max(1),
        )
    }

    fn correct_entry(
        &mut self,
        entry: &mut ReplicaEntry,
        earliest: Option<Timestamp>,
        now: Timestamp,
    ) {
        let known = self.known_start(entry);
        if entry.state == EndpointState::Removed {
            self.listed.remove(&entry.replica);
            if let Some(start) = known {
                entry.started_at = start.corrected;
                self.removed.insert(entry.replica, start);
            }
            return;
        }
        let start = known.unwrap_or_else(|| {
            let stated = entry.started_at;
            Start {
                stated,
                corrected: self.corrected(stated, earliest, now),
            }
        });
        entry.started_at = start.corrected;
        self.listed.insert(entry.replica, start);
    }

    /// A start that is not possible is replaced by now: a server that is considered too young gets
    /// less than its capacity for a while, one that is considered too old is overloaded.
    fn corrected(
        &self,
        stated: Timestamp,
        earliest: Option<Timestamp>,
        now: Timestamp,
    ) -> Timestamp {
        if stated.is_zero() {
            return stated;
        }
        let start = self.on_this_clock(stated);
        let possible = start <= now && earliest.is_none_or(|earliest| start >= earliest);
        if possible { start } else { now }
    }
}

#[cfg(test)]
mod tests;
