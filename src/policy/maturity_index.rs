//! An index of the replicas by the time at which they take requests again. `maturity` decides these
//! times.

use std::collections::BTreeSet;

use super::replica_table::{ReplicaIndex, ReplicaTable};
use crate::interface::Timestamp;

/// A replica that is not mature yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct MaturingReplica {
    matures_at: Timestamp,
    index: ReplicaIndex,
}

/// The mature replicas in service, and the maturing ones ordered by the time at which they mature.
/// `ReplicaState::mature_position` holds each mature replica's position in `mature`.
#[derive(Debug, Default)]
pub(super) struct MaturityIndex {
    mature: Vec<ReplicaIndex>,
    maturing: BTreeSet<MaturingReplica>,
}

impl MaturityIndex {
    /// The mature replicas, in no particular order.
    pub(super) fn mature(&self) -> &[ReplicaIndex] {
        &self.mature
    }

    /// The number of replicas in service.
    pub(super) fn in_service(&self) -> usize {
        self.mature.len() + self.maturing.len()
    }

    /// Whether any replica is mature.
    pub(super) fn any_mature(&self) -> bool {
        !self.mature.is_empty()
    }

    /// The time at which the next replica matures.
    pub(super) fn next(&self) -> Option<Timestamp> {
        self.maturing.first().map(|replica| replica.matures_at)
    }

    /// Removes a replica, so that its maturity can be changed.
    pub(super) fn remove(&mut self, replicas: &mut ReplicaTable, index: ReplicaIndex) {
        let matures_at = replicas[index].maturity;
        self.maturing.remove(&MaturingReplica { matures_at, index });
        self.remove_mature(replicas, index);
    }

    /// Moves the replicas that have matured by `now` to the mature ones.
    pub(super) fn promote(&mut self, replicas: &mut ReplicaTable, now: Timestamp) {
        while let Some(&next) = self.maturing.first()
            && next.matures_at <= now
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

    /// Inserts a replica among the mature or the maturing ones; ignores one that is not in service.
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
                matures_at: replica.maturity,
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
