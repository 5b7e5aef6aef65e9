//! A consistent hash ring of replicas. It gives each session a home replica on which all routers
//! with the same endpoint list agree, and draws replicas by weight. It holds no load and no health.

use super::replica_table::ReplicaIndex;

/// Spreads the bits of a key (the finaliser of SplitMix64).
fn mix_bits(key: u64) -> u64 {
    let z = (key ^ (key >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

/// A replica to be put on the ring.
#[derive(Clone, Copy, Debug)]
pub(super) struct RingMember {
    /// Its index in the balancer's table of replicas.
    pub(super) index: ReplicaIndex,
    /// The number by which all routers know it.
    pub(super) key: u64,
    /// Its size relative to the fleet's mean.
    pub(super) weight: f64,
}

/// A point of a member on the ring; ordered by its hash.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct RingPoint {
    hash: u64,
    index: ReplicaIndex,
}

/// The points of all members, in the order of their hashes.
#[derive(Debug, Default)]
pub(super) struct HashRing(Vec<RingPoint>);

impl HashRing {
    /// The points of a member of weight 1. Value: a design choice that balances the arcs.
    const POINTS_PER_WEIGHT: f64 = 8.0;
    /// The most points of one member. Value: bounds the ring, whatever sizes the list claims.
    const MAX_POINTS: f64 = 64.0;

    /// A ring of these members.
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

    /// The first eligible member at or after a key's hash, or from the ring's start.
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

    /// The member at a uniform draw from 0 up to 1: each is as likely as its weight.
    pub(super) fn draw(&self, uniform: f64) -> Option<ReplicaIndex> {
        self.0
            .get((uniform * self.0.len() as f64) as usize)
            .map(|point| point.index)
    }
}

#[cfg(test)]
mod tests;
