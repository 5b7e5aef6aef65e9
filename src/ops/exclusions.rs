//! Model servers that operators exclude from routing. The exclusions are applied to every update of
//! the endpoint list, so that the policy gets an excluded server as draining. Exclusions are stored
//! as part of [`super::maintenance_state`].

mod stored;

use std::collections::BTreeMap;

use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};

use crate::interface::{EndpointListKind, EndpointState, ReplicaEntry, ReplicaId, Span, Timestamp};
use crate::lru::LruMap;
use stored::StoredExclusion;

/// How long a restored server counts as started at its restoration if the list reports no start
/// since the exclusion: 10 minutes. This is longer than any configured slow start. After this
/// time the ended exclusion is removed, so that no server is remembered forever.
const RESTORATION_MEMORY: Span = Span::from_secs(600);

/// An exclusion that is in effect or ended within the last ten minutes. Within a process, its times
/// are on the process's clock. In a file or a message, they are on the wall clock, as it was when
/// the file or message was written.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "StoredExclusion", into = "StoredExclusion")]
pub struct Exclusion {
    /// The model server's name.
    pub name: String,
    /// When the server was excluded.
    pub excluded_at: Timestamp,
    /// When the server was restored; `None` while it is excluded.
    pub restored_at: Option<Timestamp>,
}

impl Exclusion {
    /// Converts the times to another clock. `from` and `to`: the current time on the old and on the
    /// new clock. The age of each time is preserved. A time in the future of `from`, which occurs
    /// after that clock was stepped back, becomes `to`.
    pub(super) fn on_clock(self, from: Timestamp, to: Timestamp) -> Exclusion {
        let converted = |time: Timestamp| to - (from - time);
        Exclusion {
            excluded_at: converted(self.excluded_at),
            restored_at: self.restored_at.map(converted),
            ..self
        }
    }

    /// Whether the exclusion can still change the entries passed to the policy.
    fn is_in_effect(&self, now: Timestamp) -> bool {
        self.restored_at
            .is_none_or(|restored| now - restored < RESTORATION_MEMORY)
    }
}

/// The endpoint list as it was received, and the exclusions applied to it.
#[derive(Debug, Default)]
pub struct Exclusions {
    exclusions: BTreeMap<ReplicaId, Exclusion>,
    /// The entries of the current list, before exclusions are applied.
    listed: FxHashMap<ReplicaId, ReplicaEntry>,
    /// Recently listed servers, including those that the current list does not contain.
    ever_listed: LruMap<ReplicaId, ()>,
}

impl Exclusions {
    /// Creates the state with the exclusions that the previous process stored.
    pub fn new(saved: impl IntoIterator<Item = (ReplicaId, Exclusion)>) -> Exclusions {
        Exclusions {
            exclusions: saved.into_iter().collect(),
            ..Exclusions::default()
        }
    }

    /// Processes an update of the list, and applies the exclusions to its entries, which are then
    /// passed to the policy.
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

    /// Applies the server's exclusion, if it has one, to its entry.
    fn apply_to(&self, entry: &mut ReplicaEntry) {
        let Some(exclusion) = self.exclusions.get(&entry.replica) else {
            return;
        };
        match exclusion.restored_at {
            None if entry.state == EndpointState::InService => {
                entry.state = EndpointState::Draining;
            }
            // the server may have restarted during maintenance without the list reporting that yet:
            // it gets a slow start
            Some(restored) if entry.started_at < exclusion.excluded_at => {
                entry.started_at = restored;
            }
            _ => {}
        }
    }

    /// The current entry of a server with exclusions applied; `None` if the server is not listed.
    fn effective_entry(&self, replica: ReplicaId) -> Option<ReplicaEntry> {
        let mut entry = self.listed.get(&replica)?.clone();
        self.apply_to(&mut entry);
        Some(entry)
    }

    /// Whether the server has been listed, or an operator has excluded it.
    pub fn is_known(&self, replica: ReplicaId) -> bool {
        self.ever_listed.get(&replica).is_some() || self.exclusions.contains_key(&replica)
    }

    /// Excludes a server. Returns the new entry for the policy if the server is listed.
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

    /// Restores a server. Returns the new entry for the policy if the server is listed.
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

    /// The number of model servers in the list.
    pub fn listed_servers(&self) -> usize {
        self.listed.len()
    }

    /// Returns the exclusions, to be stored.
    pub fn to_vec(&self) -> Vec<Exclusion> {
        self.exclusions.values().cloned().collect()
    }
}

#[cfg(test)]
mod tests;
