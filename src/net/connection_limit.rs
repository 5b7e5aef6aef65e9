//! Limits on the number of open connections, one for clients and one for model servers.
//!
//! This module issues the permits of each limit, and chooses a connection to evict when no permit
//! is free. It doesn't own the connections: each connection registers itself as evictable while no
//! answer is due on it, and closes itself when it is evicted. A connection is therefore not evicted
//! between a complete request and its answer. The exception is a client that pipelines: its
//! connection is evictable while an answer is written to it.

mod eviction;

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use eviction::EvictionQueue;
pub use eviction::IdleConnection;

/// The number of descriptors reserved for everything other than connections of clients and to model
/// servers: standard streams, the runtime, listeners, files, connections of operators, the router's
/// predecessor or successor process, and the two connections that discovery may have open while its
/// address changes. The number is an estimate.
const RESERVED_DESCRIPTORS: usize = 40;
/// The minimum sum of both limits, which applies however few descriptors there are.
const MIN_CONNECTIONS: usize = 4;

/// The maximum number of open connections on each side of the router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionCapacities {
    /// Connections of clients.
    pub clients: usize,
    /// Connections to model servers.
    pub model_servers: usize,
}

impl ConnectionCapacities {
    /// The number of descriptors with which this many clients may be connected.
    pub fn descriptors_for(clients: usize) -> usize {
        clients
            .saturating_mul(2)
            .saturating_add(RESERVED_DESCRIPTORS)
    }

    /// The capacities for a process that may open the given number of descriptors. The two sides
    /// have separate capacities: a request needs a connection on each side, and with a shared
    /// capacity the clients' connections alone could use up all of it.
    pub fn for_descriptors(descriptors: usize) -> ConnectionCapacities {
        let connections = descriptors
            .saturating_sub(RESERVED_DESCRIPTORS)
            .max(MIN_CONNECTIONS);
        let clients = connections / 2;
        ConnectionCapacities {
            clients,
            model_servers: connections - clients,
        }
    }
}

/// A permit for one open connection, returned to its limit when dropped.
pub type ConnectionPermit = OwnedSemaphorePermit;

/// A limit on the number of open connections. Clones share the same limit.
#[derive(Clone)]
pub struct ConnectionLimit {
    permits: Arc<Semaphore>,
    evictions: Arc<Mutex<EvictionQueue>>,
}

impl ConnectionLimit {
    /// Creates a limit of `capacity` connections.
    pub fn new(capacity: usize) -> ConnectionLimit {
        ConnectionLimit {
            permits: Arc::new(Semaphore::new(capacity)),
            evictions: Arc::default(),
        }
    }

    /// Raises the limit by `added` connections.
    pub fn add_capacity(&self, added: usize) {
        self.permits.add_permits(added);
    }

    /// Lowers the limit by at least 1 and at most `max_removed` connections, and returns the
    /// number. Waits for one permit, and removes it together with further permits that are free at
    /// that time. Returns 0 if the limit is closed.
    pub async fn remove_capacity(&self, max_removed: usize) -> usize {
        let Some(first) = self.acquire().await else {
            return 0;
        };
        first.forget();
        1 + self.permits.forget_permits(max_removed - 1)
    }

    /// Registers a connection as idle, so that it may be evicted.
    pub fn register_idle(&self) -> IdleConnection {
        IdleConnection::register(self.evictions.clone())
    }

    /// Whether a connection that was told of its eviction has not closed yet: its permit becomes
    /// free within moments.
    pub fn is_evicting(&self) -> bool {
        lock(&self.evictions).has_pending()
    }

    /// Waits for a permit. If none is free, requests the eviction of an idle connection. `None` if
    /// the limit is closed.
    pub async fn acquire(&self) -> Option<ConnectionPermit> {
        if let Ok(permit) = self.permits.clone().try_acquire_owned() {
            return Some(permit);
        }
        let _waiter = WaiterGuard::new(self);
        self.permits.clone().acquire_owned().await.ok()
    }
}

/// Counts a caller as waiting for a permit until dropped.
struct WaiterGuard<'a> {
    limit: &'a ConnectionLimit,
}

impl WaiterGuard<'_> {
    fn new(limit: &ConnectionLimit) -> WaiterGuard<'_> {
        lock(&limit.evictions).add_waiter();
        WaiterGuard { limit }
    }
}

impl Drop for WaiterGuard<'_> {
    fn drop(&mut self) {
        lock(&self.limit.evictions).remove_waiter();
    }
}

fn lock(evictions: &Mutex<EvictionQueue>) -> MutexGuard<'_, EvictionQueue> {
    evictions.lock().unwrap_or_else(PoisonError::into_inner)
}

#[cfg(test)]
mod tests;
