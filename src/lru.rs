//! A map of bounded size that evicts the entries inserted longest ago.
//!
//! It approximates least-recently-used eviction with two generations, so that an insertion has the
//! same cost at any size. An insertion renews an entry; a read does not.

use std::hash::Hash;

use rustc_hash::FxHashMap;

/// A map with at most twice [`LruMap::GENERATION_ENTRIES`] entries.
#[derive(Debug)]
pub(crate) struct LruMap<K, V> {
    young: FxHashMap<K, V>,
    old: FxHashMap<K, V>,
}

impl<K, V> Default for LruMap<K, V> {
    fn default() -> Self {
        LruMap {
            young: FxHashMap::default(),
            old: FxHashMap::default(),
        }
    }
}

impl<K: Hash + Eq, V: Copy> LruMap<K, V> {
    /// Maximum number of entries in a generation; bounds the memory of the map.
    pub(crate) const GENERATION_ENTRIES: usize = 1 << 14;

    /// The value last inserted for a key; `None` if it has been evicted or removed.
    pub(crate) fn get(&self, key: &K) -> Option<V> {
        self.young.get(key).or_else(|| self.old.get(key)).copied()
    }

    /// Inserts a value. If the young generation is full, the old generation is evicted.
    pub(crate) fn insert(&mut self, key: K, value: V) {
        if self.young.len() >= Self::GENERATION_ENTRIES {
            self.old = std::mem::take(&mut self.young);
        }
        self.young.insert(key, value);
    }

    /// Removes the value of a key.
    pub(crate) fn remove(&mut self, key: &K) {
        self.young.remove(key);
        self.old.remove(key);
    }

    /// Number of entries in both generations.
    #[cfg(test)]
    fn len(&self) -> usize {
        self.young.len() + self.old.len()
    }
}

#[cfg(test)]
mod tests;
