//! The start times of model servers on this process's clock, computed from the times that the
//! endpoint list states.
//!
//! The list states a start time (`up_since_ms`) as a reading of the platform's wall clock. This
//! process's clock is its wall clock as read when the process started, advanced monotonically from
//! then on ([`Clock`](super::Clock)). The two clocks differ if one of them was stepped in between.
//! [`StartTimes`] corrects a stated start time by two conditions: it is not in the future, and a
//! server that joins the list in a change started after the last list that did not contain it.
//! Start times that meet both conditions are kept as stated. `docs/design/clocks.md` describes the
//! rule and its limits.
//!
//! This module owns the start times of the listed servers and of those that left recently. The
//! current time is a parameter; slow start itself is decided in the decision module.

use rustc_hash::FxHashMap;

use crate::interface::{EndpointListKind, EndpointState, ReplicaEntry, ReplicaId, Span, Timestamp};
use crate::lru::LruMap;

/// While the list is watched, the start of a server is reported to this process within this time
/// (10 s).
const MAX_REPORT_DELAY: Span = Span::from_secs(10);
/// After a failed call, the list may be out of date for this time (30 s).
const RECOVERY_TIME: Span = Span::from_secs(30);

/// The start time of a model server.
#[derive(Clone, Copy, Debug, Default)]
struct StartTime {
    /// As the list states it.
    stated: Timestamp,
    /// On this process's clock.
    corrected: Timestamp,
}

/// How recently the list is known to have been up to date.
#[derive(Debug, Default)]
struct ListFreshness {
    /// Whether the last call failed or its watch broke.
    interrupted: bool,
    /// Until this time, the list may still be out of date.
    recovered_at: Timestamp,
    /// When the list was last up to date, except for changes within [`MAX_REPORT_DELAY`].
    up_to_date_at: Option<Timestamp>,
}

impl ListFreshness {
    /// Records an update that came from discovery.
    fn record_update(&mut self, now: Timestamp) {
        if std::mem::take(&mut self.interrupted) {
            self.recovered_at = now + RECOVERY_TIME;
        }
        if self.up_to_date_at.is_none() || now >= self.recovered_at {
            self.up_to_date_at = Some(now);
        }
    }

    /// Returns the earliest possible start of a server that was not in the list so far; `None` if
    /// it is unknown.
    fn earliest_join(&self) -> Option<Timestamp> {
        self.up_to_date_at
            .map(|up_to_date_at| up_to_date_at - MAX_REPORT_DELAY)
    }
}

/// The start times of the model servers on this process's clock.
#[derive(Debug, Default)]
pub(crate) struct StartTimes {
    listed: FxHashMap<ReplicaId, StartTime>,
    /// Servers that have left the list. A server that returns with the start time that it had did
    /// not restart.
    removed: LruMap<ReplicaId, StartTime>,
    freshness: ListFreshness,
    /// A lower bound of how far the platform's clock is ahead of this process's clock, from the
    /// lists whose servers may have started at any time, such as the first one.
    min_clock_lead: Span,
}

impl StartTimes {
    /// Processes an update of the list: replaces the stated start times by the corrected ones. A
    /// start time of zero, which means long ago, is not changed.
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
        // A change that only repeats known entries is possibly not from discovery, so it does not
        // show that the other entries are up to date.
        if kind == EndpointListKind::Complete || (kind == EndpointListKind::Partial && changed) {
            self.freshness.record_update(now);
        }
    }

    /// Returns the earliest possible start of a server that joins with this update; `None` if it
    /// may have started at any time. In that case, the newest stated start gives a lower bound of
    /// how far the platform's clock is ahead.
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

    /// Returns the bound of [`StartTimes::earliest_start`], given the stated starts of the servers
    /// that join and the number of entries in the update.
    fn join_bound(
        &self,
        kind: EndpointListKind,
        joins: &[Timestamp],
        entry_count: usize,
    ) -> Option<Timestamp> {
        if kind == EndpointListKind::Persisted {
            return None;
        }
        let bound = self.freshness.earliest_join()?;
        let is_earlier = |stated: &&Timestamp| self.on_this_clock(**stated) < bound;
        let earlier = joins.iter().filter(is_earlier).count();
        // If more than half of the entries of a complete list are new servers that started before
        // the bound, it is the list of another fleet: the servers of one fleet do not all restart
        // at once.
        let is_other_fleet = kind == EndpointListKind::Complete && earlier > entry_count / 2;
        (!is_other_fleet).then_some(bound)
    }

    /// Returns the known start time of a server if the list states the same one again.
    fn known_start(&self, entry: &ReplicaEntry) -> Option<StartTime> {
        let listed = self.listed.get(&entry.replica).copied();
        let start = listed.or_else(|| self.removed.get(&entry.replica))?;
        (start.stated == entry.started_at).then_some(start)
    }

    /// Whether the entry removes a listed server from the list.
    fn is_removal(&self, entry: &ReplicaEntry) -> bool {
        entry.state == EndpointState::Removed && self.listed.contains_key(&entry.replica)
    }

    /// Converts a stated start time to this process's clock, using the known lead of the platform's
    /// clock. The result is never zero, which means long ago.
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
            StartTime {
                stated,
                corrected: self.corrected(stated, earliest, now),
            }
        });
        entry.started_at = start.corrected;
        self.listed.insert(entry.replica, start);
    }

    /// Returns the start time to use. An impossible start time is replaced by the current time,
    /// because a server that is considered too young gets less than its capacity for a while,
    /// whereas one that is considered too old is overloaded.
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
