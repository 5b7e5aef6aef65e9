//! Identifiers of requests and replicas.

/// Offset basis of the 64-bit FNV-1a hash.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
/// Prime of the 64-bit FNV-1a hash.
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// The number that the router assigns to a client's request; unique among the requests in flight.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u32);

/// The number of a replica. All routers use the same number for a replica, so that they agree on a
/// session's home replica.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReplicaId(pub u64);

impl ReplicaId {
    /// The number of the replica with a given name.
    pub fn from_name(name: &str) -> ReplicaId {
        ReplicaId(stable_hash(name))
    }
}

/// A hash of a text (FNV-1a, 64 bits) that is the same in every process and release, so that all
/// routers derive the same numbers from the names of replicas, sessions and prefixes.
pub fn stable_hash(text: &str) -> u64 {
    let step = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
    text.bytes().fold(FNV_OFFSET_BASIS, step)
}
