//! The order in which idle connections are evicted: first those on which no request has begun to
//! arrive, then those on which one arrives; among equals the one longest without progress.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

use tokio::sync::Notify;

use super::lock;

/// A connection's position in the eviction order; the smallest is evicted first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct EvictionKey {
    /// Whether a request has begun to arrive.
    receiving: bool,
    /// Number of the connection's latest progress, counted over all connections.
    last_progress: u64,
}

/// The connections that may be evicted, and how many evictions are wanted.
#[derive(Default)]
pub(super) struct EvictionQueue {
    progress_counter: u64,
    /// Callers that wait for a permit.
    waiters: usize,
    /// Connections that were notified of their eviction and have not closed yet.
    pending_evictions: usize,
    /// Each evictable connection with what notifies it.
    eviction_order: BTreeMap<EvictionKey, Arc<Notify>>,
}

impl EvictionQueue {
    /// One more caller waits for a permit.
    pub(super) fn add_waiter(&mut self) {
        self.waiters += 1;
        self.evict_for_waiter();
    }

    /// A caller waits no longer.
    pub(super) fn remove_waiter(&mut self) {
        self.waiters -= 1;
    }

    /// Evicts the first connection in the order, if there are more waiters than evictions under
    /// way.
    fn evict_for_waiter(&mut self) {
        if self.waiters > self.pending_evictions
            && let Some((_, eviction)) = self.eviction_order.pop_first()
        {
            self.pending_evictions += 1;
            eviction.notify_one();
        }
    }

    /// Puts a connection last among those of its kind.
    fn insert(&mut self, receiving: bool, eviction: Arc<Notify>) -> EvictionKey {
        self.progress_counter += 1;
        let key = EvictionKey {
            receiving,
            last_progress: self.progress_counter,
        };
        self.eviction_order.insert(key, eviction);
        key
    }
}

/// RAII guard of an idle connection: the connection may be evicted while this lives.
pub struct IdleConnection {
    key: EvictionKey,
    eviction: Arc<Notify>,
    /// Whether the connection has seen its eviction and closes.
    closing: bool,
    queue: Arc<Mutex<EvictionQueue>>,
}

impl IdleConnection {
    pub(super) fn register(queue: Arc<Mutex<EvictionQueue>>) -> IdleConnection {
        let eviction = Arc::new(Notify::new());
        let mut locked = lock(&queue);
        let key = locked.insert(false, eviction.clone());
        // a caller may have begun to wait while no connection was idle
        locked.evict_for_waiter();
        drop(locked);
        IdleConnection {
            key,
            eviction,
            closing: false,
            queue,
        }
    }

    /// Waits until the connection is evicted; it must close then, or call
    /// [`Self::decline_eviction`]. Cancel safe.
    pub async fn evicted(&mut self) {
        self.eviction.notified().await;
        self.closing = true;
    }

    /// Whether the connection has seen its eviction.
    pub fn is_evicted(&self) -> bool {
        self.closing
    }

    /// The connection stays open despite its eviction, as a request has arrived on it in the
    /// meantime: another is evicted instead.
    pub fn decline_eviction(&mut self) {
        let mut queue = lock(&self.queue);
        self.closing = false;
        if !queue.eviction_order.contains_key(&self.key) {
            queue.pending_evictions -= 1;
            self.key = queue.insert(true, self.eviction.clone());
            queue.evict_for_waiter();
        }
    }

    /// Part of a request has arrived: the connection goes last in the order, behind all on which
    /// nothing arrives. So a client that sends slowly isn't evicted for one that sends nothing.
    pub fn record_progress(&mut self) {
        let mut queue = lock(&self.queue);
        // not in the order any more: it was evicted already
        let Some(eviction) = queue.eviction_order.remove(&self.key) else {
            return;
        };
        self.key = queue.insert(true, eviction);
    }
}

impl Drop for IdleConnection {
    fn drop(&mut self) {
        let mut queue = lock(&self.queue);
        if queue.eviction_order.remove(&self.key).is_none() {
            queue.pending_evictions -= 1;
            // it was evicted just as a request arrived on it, and frees no permit: without this
            // nobody would
            if !self.closing {
                queue.evict_for_waiter();
            }
        }
    }
}
