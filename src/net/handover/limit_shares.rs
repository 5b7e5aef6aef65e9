//! This process's share of the limits that the processes of one router divide among themselves.
//! Owns the amounts and the semaphores that enforce them. `exchange` transfers amounts between
//! processes.

use std::sync::{Mutex, MutexGuard, PoisonError};

use tokio::sync::mpsc;

use super::resource_amounts::{Resource, ResourceAmounts};
use crate::memory::MemoryBudget;
use crate::net::connection_limit::{ConnectionCapacities, ConnectionLimit};

/// This process's share of the router's limits: client sockets, model server sockets and shared
/// memory. The shares of all processes never add up to more than the limits.
pub struct LimitShares {
    /// Sockets of connections from clients.
    pub client_sockets: ConnectionLimit,
    /// Sockets of connections to model servers.
    pub server_sockets: ConnectionLimit,
    /// The shared part of the memory.
    pub memory: MemoryBudget,
    total: ResourceAmounts,
    owned: Mutex<ResourceAmounts>,
}

impl LimitShares {
    /// All of the limits, for a process without a predecessor.
    ///
    /// The process may open `descriptors` file descriptors and use `memory_kib` KiB of shared memory.
    pub fn all(descriptors: usize, memory_kib: usize) -> LimitShares {
        let total = total(descriptors, memory_kib);
        LimitShares::new(total, total)
    }

    /// An empty share of the same limits, for a process whose predecessor transfers a share later.
    pub fn empty(descriptors: usize, memory_kib: usize) -> LimitShares {
        LimitShares::new(total(descriptors, memory_kib), ResourceAmounts::default())
    }

    fn new(total: ResourceAmounts, owned: ResourceAmounts) -> LimitShares {
        LimitShares {
            client_sockets: ConnectionLimit::new(owned.client_sockets),
            server_sockets: ConnectionLimit::new(owned.server_sockets),
            memory: MemoryBudget::new(total.memory_kib, owned.memory_kib),
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

    /// Adds to this process's share. The share never exceeds the limits, even if amounts are added
    /// twice.
    pub(super) fn add(&self, amounts: ResourceAmounts) {
        let mut owned = self.lock_owned();
        let unowned = self.total.combine(*owned, usize::saturating_sub);
        let added = amounts.combine(unowned, usize::min);
        *owned = *owned + added;
        self.client_sockets.add_capacity(added.client_sockets);
        self.server_sockets.add_capacity(added.server_sockets);
        self.memory.add_capacity(added.memory_kib);
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

    /// Transfers `amount` of a resource in parts as they become free, and asks idle connections to
    /// close. Each part is sent to `transfer_sender`. If the receiver is closed, the part stays
    /// with this process.
    pub(super) async fn transfer(
        &self,
        resource: Resource,
        amount: usize,
        transfer_sender: &mpsc::UnboundedSender<ResourceAmounts>,
    ) {
        let mut remaining = amount;
        while remaining > 0 {
            let transferred = self
                .transfer_part(resource, remaining, transfer_sender)
                .await;
            if transferred == 0 {
                return;
            }
            remaining -= transferred;
        }
    }

    /// Transfers `amount` of the client sockets, and with each part as many model server sockets:
    /// each client that stays needs one.
    pub(super) async fn transfer_connections(
        &self,
        amount: usize,
        transfer_sender: &mpsc::UnboundedSender<ResourceAmounts>,
    ) {
        let mut remaining = amount;
        while remaining > 0 {
            let transferred = self
                .transfer_part(Resource::ClientSockets, remaining, transfer_sender)
                .await;
            if transferred == 0 {
                return;
            }
            remaining -= transferred;
            self.transfer(Resource::ServerSockets, transferred, transfer_sender)
                .await;
        }
    }

    /// Transfers the first part of at most `max_amount` of a resource that becomes free, and
    /// returns its amount. Returns 0 if the limit or the receiver is closed.
    async fn transfer_part(
        &self,
        resource: Resource,
        max_amount: usize,
        transfer_sender: &mpsc::UnboundedSender<ResourceAmounts>,
    ) -> usize {
        let released = self.release(resource, max_amount).await;
        if released == 0 {
            return 0;
        }
        *self.lock_owned().get_mut(resource) -= released;
        let amounts = ResourceAmounts::of(resource, released);
        if transfer_sender.send(amounts).is_err() {
            self.add(amounts);
            return 0;
        }
        released
    }

    /// Removes between one unit and `max_amount` of a resource from the current limit, and returns
    /// the removed amount. Waits for the first unit and takes further units only if they are free.
    /// Returns 0 if the limit is closed.
    async fn release(&self, resource: Resource, max_amount: usize) -> usize {
        match resource {
            Resource::ClientSockets => self.client_sockets.remove_capacity(max_amount).await,
            Resource::ServerSockets => self.server_sockets.remove_capacity(max_amount).await,
            Resource::Memory => self.memory.remove_capacity(max_amount).await,
        }
    }

    fn lock_owned(&self) -> MutexGuard<'_, ResourceAmounts> {
        self.owned.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn total(descriptors: usize, memory_kib: usize) -> ResourceAmounts {
    let capacities = ConnectionCapacities::for_descriptors(descriptors);
    ResourceAmounts {
        client_sockets: capacities.clients,
        server_sockets: capacities.model_servers,
        memory_kib,
    }
}

#[cfg(test)]
mod tests;
