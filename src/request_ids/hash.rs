//! The hash of an id. It is keyed, so that clients can't choose ids of the same hash, and the same at
//! all processes of a router, which exchange hashes in place of ids.

use std::hash::{BuildHasher, Hasher, RandomState};

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// The hash of an id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct IdHash(pub u64);

/// The secret key of the hashes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct IdKey(pub [u64; 2]);

impl IdKey {
    /// Returns a random key.
    pub fn random() -> IdKey {
        let word = || RandomState::new().build_hasher().finish();
        IdKey([word(), word()])
    }

    /// Returns the hash of an id.
    pub fn hash(self, id: &str) -> IdHash {
        let mut digest = Sha256::new();
        for word in self.0 {
            digest.update(word.to_le_bytes());
        }
        digest.update(id.as_bytes());
        let bytes = digest.finalize();
        let mut first = [0; size_of::<u64>()];
        first.copy_from_slice(&bytes[..size_of::<u64>()]);
        IdHash(u64::from_le_bytes(first))
    }
}
