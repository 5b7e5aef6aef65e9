//! Model servers that operators exclude from routing, as an overlay on the endpoint list: it is
//! applied to every update of the list, and the policy sees an excluded server as draining. The
//! stored form belongs to [`super::maintenance_state`].

mod stored;

use std::collections::BTreeMap;

use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};

use crate::interface::{EndpointListKind, EndpointState, ReplicaEntry, ReplicaId, Span, Timestamp};
use crate::lru::LruMap;
use stored::StoredExclusion;

/// How long a restored server counts as started at its restoration, where the list reports no start
/// since the exclusion: 10 minutes. Longer than any configured slow start, so that no server is
/// remembered for ever.
const RESTORATION_MEMORY: Span = Span::from_secs(600);

/// An exclusion, or one that ended within the last ten minutes. Inside a process its times are
/// those of the process's clock; outside, in a file or a message, those of the wall clock as it
/// read when they were written.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "StoredExclusion", into = "StoredExclusion")]
pub struct Exclusion {
    /// The model server's name.
    pub name: String,
    /// When it was excluded.
    pub excluded_at: Timestamp,
    /// When it was restored; `None` while it is excluded.
    pub restored_at: Option<Timestamp>,
}

impl Exclusion {
    /// The same exclusion with its times on another clock. `from` and `to`: what the two clocks
    /// read now. Ages stay; a time ahead of its clock, which was stepped since, becomes now.
    pub(super) fn on_clock(self, from: Timestamp, to: Timestamp) -> Exclusion {
        let converted = |time: Timestamp| to - (from - time);
        Exclusion {
            excluded_at: converted(self.excluded_at),
            restored_at: self.restored_at.map(converted),
            ..self
        }
    }

    /// Whether it still changes the entries that the policy sees.
    fn is_in_effect(&self, now: Timestamp) -> bool {
        self.restored_at
            .is_none_or(|restored| now - restored < RESTORATION_MEMORY)
    }
}

/// The endpoint list as it arrived, and the exclusions from it.
#[derive(Debug, Default)]
pub struct Exclusions {
    exclusions: BTreeMap<ReplicaId, Exclusion>,
    listed: FxHashMap<ReplicaId, ReplicaEntry>,
    ever_listed: LruMap<ReplicaId, ()>,
}

impl Exclusions {
    /// Starts with the exclusions that the previous process stored.
    pub fn new(saved: impl IntoIterator<Item = (ReplicaId, Exclusion)>) -> Exclusions {
        Exclusions {
            exclusions: saved.into_iter().collect(),
            ..Exclusions::default()
        }
    }

    /// Processes an update of the list, and changes its entries into those that the policy sees.
    pub fn apply<'a>(
        &mut self,
        kind: EndpointListKind,
        entries: impl Iterator<Item = &'a mut ReplicaEntry>,
        now: Timestamp,
    ) {
        if matches!(
            kind,
            EndpointListKind::Complete | EndpointListKind::Persisted
        ) {
            self.listed.clear();
        }
        for entry in entries {
            if entry.state == EndpointState::Removed {
                self.listed.remove(&entry.replica);
            } else {
                self.ever_listed.insert(entry.replica, ());
                self.listed.insert(entry.replica, entry.clone());
            }
            self.apply_to(entry);
        }
        self.exclusions
            .retain(|_, exclusion| exclusion.is_in_effect(now));
    }

    /// Changes an entry into the one that the policy sees.
    fn apply_to(&self, entry: &mut ReplicaEntry) {
        let Some(exclusion) = self.exclusions.get(&entry.replica) else {
            return;
        };
        match exclusion.restored_at {
            None if entry.state == EndpointState::InService => {
                entry.state = EndpointState::Draining;
            }
            // it may have been restarted during the maintenance without the list reporting it yet:
            // it goes through slow start
            Some(restored) if entry.started_at < exclusion.excluded_at => {
                entry.started_at = restored;
            }
            _ => {}
        }
    }

    /// The entry of a server that the policy sees now; `None` if the list doesn't name it.
    fn effective_entry(&self, replica: ReplicaId) -> Option<ReplicaEntry> {
        let mut entry = self.listed.get(&replica)?.clone();
        self.apply_to(&mut entry);
        Some(entry)
    }

    /// Whether a list has ever named the server, or an operator has excluded it.
    pub fn is_known(&self, replica: ReplicaId) -> bool {
        self.ever_listed.get(&replica).is_some() || self.exclusions.contains_key(&replica)
    }

    /// Excludes a server. Returns the entry that the policy sees from now on, if it is listed.
    pub fn exclude(
        &mut self,
        replica: ReplicaId,
        name: &str,
        now: Timestamp,
    ) -> Option<ReplicaEntry> {
        let exclusion = self.exclusions.entry(replica).or_insert_with(|| Exclusion {
            name: name.to_string(),
            excluded_at: now,
            restored_at: None,
        });
        if exclusion.restored_at.take().is_some() {
            exclusion.excluded_at = now;
        }
        self.effective_entry(replica)
    }

    /// Restores a server. Returns the entry that the policy sees from now on, if it is listed.
    pub fn restore(&mut self, replica: ReplicaId, now: Timestamp) -> Option<ReplicaEntry> {
        let exclusion = self.exclusions.get_mut(&replica)?;
        let start_is_listed = self
            .listed
            .get(&replica)
            .is_some_and(|entry| entry.started_at >= exclusion.excluded_at);
        exclusion.restored_at.get_or_insert(now);
        if start_is_listed {
            self.exclusions.remove(&replica);
        }
        self.effective_entry(replica)
    }

    /// How many model servers the list names.
    pub fn listed_servers(&self) -> usize {
        self.listed.len()
    }

    /// The exclusions, to be stored.
    pub fn to_vec(&self) -> Vec<Exclusion> {
        self.exclusions.values().cloned().collect()
    }
}

#[cfg(test)]
mod tests;
