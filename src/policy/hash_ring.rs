//! A consistent hash ring of replicas. It gives each session a home replica on which all routers
//! with the same endpoint list agree, and draws replicas by weight. It ignores load and health.

use super::replica_table::ReplicaIndex;

/// Mixes the bits of a key (the finalizer of SplitMix64).
fn mix_bits(key: u64) -> u64 {
    let z = (key ^ (key >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

/// A replica to be placed on the ring.
#[derive(Clone, Copy, Debug)]
pub(super) struct RingMember {
    /// The replica's index in the balancer's table of replicas.
    pub(super) index: ReplicaIndex,
    /// The number that all routers use for the replica.
    pub(super) key: u64,
    /// The replica's size relative to the fleet's mean size.
    pub(super) weight: f64,
}

/// A point of a member on the ring. Points are ordered by hash.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct RingPoint {
    hash: u64,
    index: ReplicaIndex,
}

/// A hash ring: the points of all members, in the order of their hashes.
#[derive(Debug, Default)]
pub(super) struct HashRing(Vec<RingPoint>);

impl HashRing {
    /// Number of points of a member of weight 1. Several points make the arcs of the members more
    /// equal.
    const POINTS_PER_WEIGHT: f64 = 8.0;
    /// Maximum number of points of a member. It bounds the ring for any sizes in the endpoint list.
    const MAX_POINTS: f64 = 64.0;

    /// Builds a ring of the given members.
    pub(super) fn new(members: impl Iterator<Item = RingMember>) -> HashRing {
        let points = |member: RingMember| {
            let count = (Self::POINTS_PER_WEIGHT * member.weight).round();
            let count = count.clamp(1.0, Self::MAX_POINTS) as u64;
            (0..count).map(move |point| RingPoint {
                hash: mix_bits(member.key.wrapping_add(mix_bits(point))),
                index: member.index,
            })
        };
        let mut ring: Vec<RingPoint> = members.flat_map(points).collect();
        ring.sort_unstable();
        HashRing(ring)
    }

    /// The first eligible member at or after a key's hash, wrapping around to the ring's start.
    pub(super) fn home(
        &self,
        key: u64,
        eligible: impl Fn(ReplicaIndex) -> bool,
    ) -> Option<ReplicaIndex> {
        let hash = mix_bits(key);
        let next = self.0.partition_point(|point| point.hash < hash);
        self.0[next..]
            .iter()
            .chain(&self.0)
            .map(|point| point.index)
            .find(|&index| eligible(index))
    }

    /// The member at a uniform draw in [0, 1). The probability of a member is proportional to its
    /// number of points.
    pub(super) fn draw(&self, uniform: f64) -> Option<ReplicaIndex> {
        self.0
            .get((uniform * self.0.len() as f64) as usize)
            .map(|point| point.index)
    }
}

#[cfg(test)]
mod tests;
