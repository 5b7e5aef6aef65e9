//! An index of the replicas by when they take requests, as a data structure. The times are decided
//! in `maturity`.

use std::collections::BTreeSet;

use super::replica_table::{ReplicaIndex, ReplicaTable};
use crate::interface::Timestamp;

/// A replica that is not mature yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct MaturingReplica {
    at: Timestamp,
    index: ReplicaIndex,
}

/// The mature replicas in service, and the others by when they mature. Each mature replica has its
/// position here in `ReplicaState::mature_position`.
#[derive(Debug, Default)]
pub(super) struct MaturityIndex {
    mature: Vec<ReplicaIndex>,
    maturing: BTreeSet<MaturingReplica>,
}

impl MaturityIndex {
    /// The mature replicas, in no order.
    pub(super) fn mature(&self) -> &[ReplicaIndex] {
        &self.mature
    }

    /// Whether any replica is mature.
    pub(super) fn any_mature(&self) -> bool {
        !self.mature.is_empty()
    }

    /// When the next replica matures.
    pub(super) fn next(&self) -> Option<Timestamp> {
        self.maturing.first().map(|replica| replica.at)
    }

    /// Removes a replica; its maturity may change then.
    pub(super) fn remove(&mut self, replicas: &mut ReplicaTable, index: ReplicaIndex) {
        let at = replicas[index].maturity;
        self.maturing.remove(&MaturingReplica { at, index });
        self.remove_mature(replicas, index);
    }

    /// Moves the replicas that have matured by now to the mature ones.
    pub(super) fn promote(&mut self, replicas: &mut ReplicaTable, now: Timestamp) {
        while let Some(&next) = self.maturing.first()
            && next.at <= now
        {
            self.maturing.pop_first();
            self.insert(replicas, next.index, now);
        }
    }

    /// Removes a replica from the mature ones, if it is among them.
    fn remove_mature(&mut self, replicas: &mut ReplicaTable, index: ReplicaIndex) {
        if let Some(position) = replicas[index].mature_position.take() {
            self.mature.swap_remove(position);
            if let Some(&moved) = self.mature.get(position) {
                replicas[moved].mature_position = Some(position);
            }
        }
    }

    /// Inserts a replica among the mature or the maturing ones, or neither if it is not in service.
    pub(super) fn insert(
        &mut self,
        replicas: &mut ReplicaTable,
        index: ReplicaIndex,
        now: Timestamp,
    ) {
        self.remove_mature(replicas, index);
        let replica = &mut replicas[index];
        if !replica.is_in_service() {
            return;
        }
        if replica.maturity <= now {
            replica.mature_position = Some(self.mature.len());
            self.mature.push(index);
        } else {
            self.maturing.insert(MaturingReplica {
                at: replica.maturity,
                index,
            });
        }
    }

    /// Rebuilds the index from all replicas.
    pub(super) fn rebuild(&mut self, replicas: &mut ReplicaTable, now: Timestamp) {
        self.mature.clear();
        self.maturing.clear();
        for index in replicas.indices() {
            replicas[index].mature_position = None;
            self.insert(replicas, index, now);
        }
    }
}

#[cfg(test)]
mod tests;
