//! The table of all replicas for which state is kept. An index refers to the same replica while an
//! attempt there is in flight; `membership` decides which index a new replica gets.

use std::ops::{Index, IndexMut};

use super::replica::ReplicaState;

/// A replica's index in the table. Unlike a `ReplicaId`, it is only valid in this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ReplicaIndex(usize);

/// The states of all replicas, by their indices.
#[derive(Default)]
pub(super) struct ReplicaTable(Vec<ReplicaState>);

impl ReplicaTable {
    /// The number of replicas in the table, listed or not.
    pub(super) fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether no endpoint list has contained a replica yet.
    pub(super) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// All indices, in ascending order.
    pub(super) fn indices(&self) -> impl Iterator<Item = ReplicaIndex> + use<> {
        (0..self.0.len()).map(ReplicaIndex)
    }

    /// All replicas, in the order of their indices.
    pub(super) fn iter(&self) -> impl Iterator<Item = &ReplicaState> + Clone {
        self.0.iter()
    }

    /// All replicas in the order of their indices, mutably.
    pub(super) fn iter_mut(&mut self) -> impl Iterator<Item = &mut ReplicaState> {
        self.0.iter_mut()
    }

    /// All replicas with their indices.
    pub(super) fn enumerate(&self) -> impl Iterator<Item = (ReplicaIndex, &ReplicaState)> + Clone {
        let entries = self.0.iter().enumerate();
        entries.map(|(index, replica)| (ReplicaIndex(index), replica))
    }

    /// Appends a replica and returns its index.
    pub(super) fn push(&mut self, replica: ReplicaState) -> ReplicaIndex {
        self.0.push(replica);
        ReplicaIndex(self.0.len() - 1)
    }
}

impl Index<ReplicaIndex> for ReplicaTable {
    type Output = ReplicaState;

    fn index(&self, index: ReplicaIndex) -> &ReplicaState {
        &self.0[index.0]
    }
}

impl IndexMut<ReplicaIndex> for ReplicaTable {
    fn index_mut(&mut self, index: ReplicaIndex) -> &mut ReplicaState {
        &mut self.0[index.0]
    }
}
