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

/// How recently the list is known to have been up to date.
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

    /// The earliest start of a server that was not in the list so far; `None` where that is not
    /// known.
    fn earliest_join(&self) -> Option<Timestamp> {
        self.up_to_date_at
            .map(|up_to_date_at| up_to_date_at - MAX_REPORT_DELAY)
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
        let earliest = self.earliest_start(kind, &entries, now);
        let mut changed = entries.is_empty() && !self.listed.is_empty();
        if kind != EndpointListKind::Partial {
            for (replica, start) in std::mem::take(&mut self.listed) {
                self.removed.insert(replica, start);
            }
        }
        for entry in &mut entries {
            changed |= self.known_start(entry).is_none() || self.is_removal(entry);
            self.correct_entry(entry, earliest, now);
        }
        // A change that repeats known entries need not come from discovery, and does not show that
        // the rest of the list is up to date.
        if kind == EndpointListKind::Complete || (kind == EndpointListKind::Partial && changed) {
            self.freshness.record_update(now);
        }
    }

    /// The earliest start of a server that joins with this update; `None` where it may have started
    /// at any time. The starts of such a list show how far the platform's clock is ahead.
    fn earliest_start(
        &mut self,
        kind: EndpointListKind,
        entries: &[&mut ReplicaEntry],
        now: Timestamp,
    ) -> Option<Timestamp> {
        let joined = |entry: &&&mut ReplicaEntry| {
            !entry.started_at.is_zero() && self.known_start(entry).is_none()
        };
        let joins: Vec<Timestamp> = entries
            .iter()
            .filter(joined)
            .map(|entry| entry.started_at)
            .collect();
        let bound = self.join_bound(kind, &joins, entries.len());
        if bound.is_none()
            && let Some(&newest) = joins.iter().max()
        {
            self.min_clock_lead = self.min_clock_lead.max(newest - now);
        }
        bound
    }

    /// The bound of [`StartTimes::earliest_start`], by the stated starts of the servers that join.
    fn join_bound(
        &self,
        kind: EndpointListKind,
        joins: &[Timestamp],
        listed: usize,
    ) -> Option<Timestamp> {
        if kind == EndpointListKind::Persisted {
            return None;
        }
        let bound = self.freshness.earliest_join()?;
        let is_earlier = |stated: &&Timestamp| self.on_this_clock(**stated) < bound;
        let earlier = joins.iter().filter(is_earlier).count();
        // A complete list that is mostly new is the list of another fleet: its servers have not all
        // restarted at once.
        let is_other_fleet = kind == EndpointListKind::Complete && earlier > listed / 2;
        (!is_other_fleet).then_some(bound)
    }

    /// The start known for a server, where the list states the same one again.
    fn known_start(&self, entry: &ReplicaEntry) -> Option<Start> {
        let listed = self.listed.get(&entry.replica).copied();
        let start = listed.or_else(|| self.removed.get(&entry.replica))?;
        (start.stated == entry.started_at).then_some(start)
    }

    /// Whether the entry takes a listed server out of the list.
    fn is_removal(&self, entry: &ReplicaEntry) -> bool {
        entry.state == EndpointState::Removed && self.listed.contains_key(&entry.replica)
    }

    /// A stated start, corrected by what is known of the platform's clock. Never zero, which means
    /// long ago.
    fn on_this_clock(&self, stated: Timestamp) -> Timestamp {
        (stated - self.min_clock_lead).max(Timestamp::from_micros(1))
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
