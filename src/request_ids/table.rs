//! The ids of the requests in flight and of the requests that finished most recently.

use std::collections::{HashSet, VecDeque};

use super::IdHash;

/// The maximum number of remembered ids of finished requests. Bounds the memory for ids, to about
/// 3 MiB.
pub(super) const REMEMBERED_IDS: usize = 1 << 16;

/// The ids in use and the remembered ids.
#[derive(Default)]
pub(super) struct IdTable {
    in_flight: HashSet<IdHash>,
    /// The ids in `finished`.
    remembered: HashSet<IdHash>,
    /// The remembered ids, oldest first.
    finished: VecDeque<IdHash>,
}

impl IdTable {
    /// Marks an id as in flight. Returns whether it was free.
    pub(super) fn begin(&mut self, hash: IdHash) -> bool {
        !self.remembered.contains(&hash) && self.in_flight.insert(hash)
    }

    /// Remembers the id of a request in flight that has finished.
    pub(super) fn finish(&mut self, hash: IdHash) {
        self.in_flight.remove(&hash);
        self.remember(hash);
    }

    /// Frees the id of a request in flight.
    pub(super) fn cancel(&mut self, hash: IdHash) {
        self.in_flight.remove(&hash);
    }

    /// Remembers an id of another process. Returns whether it was free.
    pub(super) fn remember(&mut self, hash: IdHash) -> bool {
        if self.in_flight.contains(&hash) || !self.remembered.insert(hash) {
            return false;
        }
        self.finished.push_back(hash);
        if self.finished.len() > REMEMBERED_IDS
            && let Some(oldest) = self.finished.pop_front()
        {
            self.remembered.remove(&oldest);
        }
        true
    }

    /// Frees a remembered id. It is one of the last that were remembered.
    pub(super) fn forget(&mut self, hash: IdHash) {
        if self.remembered.remove(&hash)
            && let Some(position) = self.finished.iter().rposition(|&other| other == hash)
        {
            self.finished.remove(position);
        }
    }

    /// All ids: the remembered ones, oldest first, and then those in flight.
    pub(super) fn all(&self) -> Vec<IdHash> {
        let remembered = self.finished.iter();
        remembered.chain(&self.in_flight).copied().collect()
    }

    /// Whether there are no ids.
    pub(super) fn is_empty(&self) -> bool {
        self.in_flight.is_empty() && self.remembered.is_empty()
    }

    /// The number of ids.
    #[cfg(test)]
    pub(super) fn len(&self) -> usize {
        self.in_flight.len() + self.remembered.len()
    }
}

#[cfg(test)]
mod tests;
