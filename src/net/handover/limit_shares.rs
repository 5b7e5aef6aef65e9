//! This process's share of the limits that the processes of one router divide between them. Owns
//! the counts and the semaphores behind them; how shares travel between processes is the business
//! of `exchange`.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::{Semaphore, mpsc};

use super::resource_amounts::{Resource, ResourceAmounts};
use crate::net::connection_limit::{ConnectionCapacities, ConnectionLimit};

/// This process's share of the router's limits: clients' sockets, model servers' sockets and memory
/// for bodies. The shares of all processes never add up to more than the limits.
pub struct LimitShares {
    /// Sockets of clients' connections.
    pub client_sockets: ConnectionLimit,
    /// Sockets of connections to model servers.
    pub server_sockets: ConnectionLimit,
    /// Memory for bodies of requests, one permit for each KiB.
    pub body_memory: Arc<Semaphore>,
    total: ResourceAmounts,
    owned: Mutex<ResourceAmounts>,
}

impl LimitShares {
    /// All of the limits, for a process without a predecessor: `descriptors` that the process may
    /// open and `body_kib` of memory for bodies.
    pub fn all(descriptors: usize, body_kib: usize) -> LimitShares {
        let total = total(descriptors, body_kib);
        LimitShares::new(total, total)
    }

    /// Nothing as yet of the same limits, for a process whose predecessor transfers its share.
    pub fn empty(descriptors: usize, body_kib: usize) -> LimitShares {
        LimitShares::new(total(descriptors, body_kib), ResourceAmounts::default())
    }

    fn new(total: ResourceAmounts, owned: ResourceAmounts) -> LimitShares {
        LimitShares {
            client_sockets: ConnectionLimit::new(owned.client_sockets),
            server_sockets: ConnectionLimit::new(owned.server_sockets),
            body_memory: Arc::new(Semaphore::new(owned.body_kib)),
            total,
            owned: Mutex::new(owned),
        }
    }

    /// The amounts that this process owns.
    pub(super) fn owned(&self) -> ResourceAmounts {
        *self.lock_owned()
    }

    /// Whether this process owns sockets for clients.
    pub(super) fn admits_clients(&self) -> bool {
        self.owned().client_sockets > 0
    }

    /// Adds to this process's share, up to the limits: an amount that arrives twice counts once.
    pub(super) fn add(&self, amounts: ResourceAmounts) {
        let mut owned = self.lock_owned();
        let unowned = self.total.combine(*owned, usize::saturating_sub);
        let added = amounts.combine(unowned, usize::min);
        *owned = *owned + added;
        self.client_sockets.add_capacity(added.client_sockets);
        self.server_sockets.add_capacity(added.server_sockets);
        self.body_memory.add_permits(added.body_kib);
    }

    /// Raises this process's share to half of the limits.
    pub(super) fn raise_to_half(&self) {
        self.raise_to(self.total.half());
    }

    /// Raises this process's share to all of the limits.
    pub(super) fn raise_to_all(&self) {
        self.raise_to(self.total);
    }

    fn raise_to(&self, target: ResourceAmounts) {
        self.add(target.combine(self.owned(), usize::saturating_sub));
    }

    /// Gives `amount` of a resource away as it falls free, asking idle connections to close. Each
    /// part is sent to `transfers`, and stays this process's where nobody receives it.
    pub(super) async fn transfer(
        &self,
        resource: Resource,
        amount: usize,
        transfers: &mpsc::UnboundedSender<ResourceAmounts>,
    ) {
        let mut remaining = amount;
        while remaining > 0 {
            let released = self.release(resource, remaining).await;
            if released == 0 {
                return;
            }
            remaining -= released;
            *self.lock_owned().get_mut(resource) -= released;
            let released = ResourceAmounts::of(resource, released);
            if transfers.send(released).is_err() {
                return self.add(released);
            }
        }
    }

    /// Removes up to `most` of a resource from the limit in force: waits for the first unit, and
    /// adds what is free with it. 0 where the limit is closed.
    async fn release(&self, resource: Resource, most: usize) -> usize {
        match resource {
            Resource::ClientSockets => self.client_sockets.remove_capacity(most).await,
            Resource::ServerSockets => self.server_sockets.remove_capacity(most).await,
            Resource::BodyMemory => {
                let Ok(first) = self.body_memory.acquire().await else {
                    return 0;
                };
                first.forget();
                1 + self.body_memory.forget_permits(most - 1)
            }
        }
    }

    fn lock_owned(&self) -> MutexGuard<'_, ResourceAmounts> {
        self.owned.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn total(descriptors: usize, body_kib: usize) -> ResourceAmounts {
    let capacities = ConnectionCapacities::for_descriptors(descriptors);
    ResourceAmounts {
        client_sockets: capacities.clients,
        server_sockets: capacities.model_servers,
        body_kib,
    }
}

#[cfg(test)]
mod tests;
