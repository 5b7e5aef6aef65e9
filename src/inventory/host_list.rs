//! Collects the hosts of an inventory. It rejects duplicate names and limits the number of hosts.

use super::{LineError, MAX_HOSTS};
use crate::core::Endpoint;

/// The hosts read so far.
#[derive(Default)]
pub(super) struct HostList(Vec<Endpoint>);

impl HostList {
    /// Adds a host. Fails if the list already contains a host with this name or is full.
    pub(super) fn add(&mut self, host: Endpoint) -> Result<(), LineError> {
        let replica = host.entry.replica;
        if self.0.iter().any(|other| other.entry.replica == replica) {
            return Err(LineError::DuplicateHost(host.name));
        }
        if self.0.len() >= MAX_HOSTS {
            return Err(LineError::TooManyHosts);
        }
        self.0.push(host);
        Ok(())
    }

    /// All hosts, in the order in which they were added.
    pub(super) fn into_endpoints(self) -> Vec<Endpoint> {
        self.0
    }
}
