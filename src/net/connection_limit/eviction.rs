//! The order in which idle connections are evicted: first the connections on which no request has
//! begun to arrive, then those on which a request is arriving. In both groups, the connection with
//! the longest time since its last progress is evicted first.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

use tokio::sync::Notify;

use super::lock;

/// The position of a connection in the eviction order. The connection with the smallest key is
/// evicted first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct EvictionKey {
    /// Whether a request has begun to arrive on the connection.
    receiving: bool,
    /// The sequence number of the connection's last progress, from a counter shared by all
    /// connections.
    last_progress: u64,
}

/// The connections that may be evicted, the callers that wait for a permit, and the evictions in
/// progress.
#[derive(Default)]
pub(super) struct EvictionQueue {
    progress_counter: u64,
    /// The number of callers that wait for a permit.
    waiters: usize,
    /// The number of connections that were notified of their eviction and have not closed yet.
    pending_evictions: usize,
    /// The evictable connections, each with the `Notify` that tells it of its eviction.
    eviction_order: BTreeMap<EvictionKey, Arc<Notify>>,
}

impl EvictionQueue {
    /// Records that a caller starts to wait for a permit, and evicts a connection if needed.
    pub(super) fn add_waiter(&mut self) {
        self.waiters += 1;
        self.evict_for_waiter();
    }

    /// Whether an evicted connection has not closed yet.
    pub(super) fn has_pending(&self) -> bool {
        self.pending_evictions > 0
    }

    /// Records that a caller no longer waits for a permit.
    pub(super) fn remove_waiter(&mut self) {
        self.waiters -= 1;
    }

    /// Evicts the first connection in the order if there are more waiters than pending evictions.
    fn evict_for_waiter(&mut self) {
        if self.waiters > self.pending_evictions
            && let Some((_, eviction)) = self.eviction_order.pop_first()
        {
            self.pending_evictions += 1;
            eviction.notify_one();
        }
    }

    /// Adds a connection at the end of its group, which `receiving` selects.
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

/// RAII guard for an idle connection, which may be evicted until the guard is dropped.
pub struct IdleConnection {
    key: EvictionKey,
    eviction: Arc<Notify>,
    /// Whether the connection was told of its eviction and is about to close.
    closing: bool,
    queue: Arc<Mutex<EvictionQueue>>,
}

impl IdleConnection {
    pub(super) fn register(queue: Arc<Mutex<EvictionQueue>>) -> IdleConnection {
        let eviction = Arc::new(Notify::new());
        let mut locked = lock(&queue);
        let key = locked.insert(false, eviction.clone());
        // callers may already be waiting from a time when no connection was idle
        locked.evict_for_waiter();
        drop(locked);
        IdleConnection {
            key,
            eviction,
            closing: false,
            queue,
        }
    }

    /// Waits until the connection is evicted. Then the caller must close the connection or call
    /// [`Self::decline_eviction`]. Cancel safe.
    pub async fn evicted(&mut self) {
        self.eviction.notified().await;
        self.closing = true;
    }

    /// Whether [`Self::evicted`] has returned and the eviction was not declined.
    pub fn is_evicted(&self) -> bool {
        self.closing
    }

    /// Keeps the connection open despite its eviction, because a request has arrived on it in the
    /// meantime. Another connection is evicted instead.
    pub fn decline_eviction(&mut self) {
        let mut queue = lock(&self.queue);
        self.closing = false;
        if !queue.eviction_order.contains_key(&self.key) {
            queue.pending_evictions -= 1;
            self.key = queue.insert(true, self.eviction.clone());
            queue.evict_for_waiter();
        }
    }

    /// Records that part of a request has arrived, and moves the connection to the end of the
    /// eviction order. So a client that sends slowly is evicted later than clients that send
    /// nothing.
    pub fn record_progress(&mut self) {
        let mut queue = lock(&self.queue);
        // a connection that is no longer in the order has already been evicted
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
            // the connection was evicted just as a request arrived on it, so it stays open and
            // frees no permit; another connection has to be evicted for the waiting caller
            if !self.closing {
                queue.evict_for_waiter();
            }
        }
    }
}
