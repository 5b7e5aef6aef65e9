//! Transfers limits to a successor. `limit_shares` owns them, `exchange` sends the messages.

use std::future::pending;

use tokio::sync::mpsc;
use tokio::time::sleep;

use super::Handover;
use super::resource_amounts::{Resource, ResourceAmounts};
use super::session::Peer;
use crate::net::listener::{REQUEST_CUTOFF_AFTER_SHUTDOWN, wait_until_set};

impl Handover {
    /// Transfers half of the limits to a successor. Once the successor has taken over and this
    /// process shuts down, also transfers the remaining client sockets. Never returns.
    pub(super) async fn transfer_limits(
        &self,
        peer: Peer,
        transfer_sender: &mpsc::UnboundedSender<ResourceAmounts>,
    ) {
        if peer == Peer::Successor {
            let half = self.limits.owned().half();
            let transfer =
                |resource, amount| self.limits.transfer(resource, amount, transfer_sender);
            tokio::join!(
                transfer(Resource::ClientSockets, half.client_sockets),
                transfer(Resource::ServerSockets, half.server_sockets),
                transfer(Resource::Memory, half.memory_kib),
            );
            wait_until_set(&mut self.shutdown.clone()).await;
            wait_until_set(&mut self.successor_serving.subscribe()).await;
            // until the cutoff, clients may still send requests on idle connections of this process
            sleep(REQUEST_CUTOFF_AFTER_SHUTDOWN).await;
            let remaining = self.limits.owned().client_sockets;
            transfer(Resource::ClientSockets, remaining).await;
        }
        pending::<()>().await;
    }
}
