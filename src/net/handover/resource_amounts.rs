//! Amounts of the resources whose limits two processes of one router share. These are plain
//! numbers; `limit_shares` tracks which amounts this process owns.

use serde::{Deserialize, Serialize};

/// A resource with a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Resource {
    /// Sockets of connections from clients.
    ClientSockets,
    /// Sockets of connections to model servers.
    ServerSockets,
    /// Shared memory, in KiB.
    Memory,
}

/// An amount of each resource. In messages it is an array with the amounts in field order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "[usize; 3]", into = "[usize; 3]")]
pub(super) struct ResourceAmounts {
    pub(super) client_sockets: usize,
    pub(super) server_sockets: usize,
    pub(super) memory_kib: usize,
}

impl ResourceAmounts {
    /// An amount of one resource, and zero of the other resources.
    pub(super) fn of(resource: Resource, amount: usize) -> ResourceAmounts {
        let mut amounts = ResourceAmounts::default();
        *amounts.get_mut(resource) = amount;
        amounts
    }

    /// A mutable reference to the amount of one resource.
    pub(super) fn get_mut(&mut self, resource: Resource) -> &mut usize {
        match resource {
            Resource::ClientSockets => &mut self.client_sockets,
            Resource::ServerSockets => &mut self.server_sockets,
            Resource::Memory => &mut self.memory_kib,
        }
    }

    /// Applies `operation` to the amounts of each resource in `self` and `other`.
    pub(super) fn combine(
        self,
        other: ResourceAmounts,
        operation: impl Fn(usize, usize) -> usize,
    ) -> ResourceAmounts {
        ResourceAmounts {
            client_sockets: operation(self.client_sockets, other.client_sockets),
            server_sockets: operation(self.server_sockets, other.server_sockets),
            memory_kib: operation(self.memory_kib, other.memory_kib),
        }
    }

    /// Half of each amount, rounded down.
    pub(super) fn half(self) -> ResourceAmounts {
        ResourceAmounts {
            client_sockets: self.client_sockets / 2,
            server_sockets: self.server_sockets / 2,
            memory_kib: self.memory_kib / 2,
        }
    }

    /// Each amount divided by `divisor`, and at least one of each.
    pub(super) fn part(self, divisor: usize) -> ResourceAmounts {
        let part = |amount: usize| (amount / divisor).max(1);
        ResourceAmounts {
            client_sockets: part(self.client_sockets),
            server_sockets: part(self.server_sockets),
            memory_kib: part(self.memory_kib),
        }
    }
}

impl std::ops::Add for ResourceAmounts {
    type Output = ResourceAmounts;

    fn add(self, other: ResourceAmounts) -> ResourceAmounts {
        self.combine(other, |a, b| a + b)
    }
}

impl From<[usize; 3]> for ResourceAmounts {
    fn from([client_sockets, server_sockets, memory_kib]: [usize; 3]) -> ResourceAmounts {
        ResourceAmounts {
            client_sockets,
            server_sockets,
            memory_kib,
        }
    }
}

impl From<ResourceAmounts> for [usize; 3] {
    fn from(amounts: ResourceAmounts) -> [usize; 3] {
        [
            amounts.client_sockets,
            amounts.server_sockets,
            amounts.memory_kib,
        ]
    }
}
