//! The data structure for the requests that wait to be sent, ordered by the times at which their
//! first tokens are due. `queue` and `dispatch` decide on insertions and removals.

use std::collections::BTreeSet;

use crate::interface::{RequestId, Timestamp};

/// A request's position in the queue, by the time its first token is due, then by its id.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct QueueKey {
    pub(super) due: Timestamp,
    pub(super) request: RequestId,
}

impl QueueKey {
    /// The smallest key after this one.
    pub(super) fn successor(self) -> QueueKey {
        QueueKey {
            due: self.due,
            request: RequestId(self.request.0.saturating_add(1)),
        }
    }
}

/// The queue, with the number of its requests in each class.
#[derive(Debug)]
pub(super) struct RequestQueue {
    keys: BTreeSet<QueueKey>,
    by_class: Vec<u32>,
}

impl RequestQueue {
    /// Creates an empty queue for this number of classes.
    pub(super) fn new(classes: usize) -> RequestQueue {
        RequestQueue {
            keys: BTreeSet::new(),
            by_class: vec![0; classes],
        }
    }

    /// Inserts a request of a class, unless it is already queued.
    pub(super) fn insert(&mut self, key: QueueKey, class: u32) {
        if self.keys.insert(key) {
            self.by_class[class as usize] += 1;
        }
    }

    /// Removes a request of a class, if it is queued.
    pub(super) fn remove(&mut self, key: QueueKey, class: u32) {
        if self.keys.remove(&key) {
            self.by_class[class as usize] -= 1;
        }
    }

    /// The queued request with the earliest due time.
    pub(super) fn first(&self) -> Option<QueueKey> {
        self.keys.first().copied()
    }

    /// The first queued request at or after a key.
    pub(super) fn first_from(&self, key: QueueKey) -> Option<QueueKey> {
        self.keys.range(key..).next().copied()
    }

    /// The ids of all queued requests, in queue order.
    pub(super) fn ids(&self) -> Vec<RequestId> {
        self.keys.iter().map(|key| key.request).collect()
    }

    /// The number of queued requests in each class.
    pub(super) fn by_class(&self) -> &[u32] {
        &self.by_class
    }
}

#[cfg(test)]
mod tests;
