//! Transfers limits to a successor. `limit_shares` owns them, `exchange` sends the messages.

use std::future::pending;

use tokio::sync::mpsc;
use tokio::time::sleep;

use super::Handover;
use super::resource_amounts::{Resource, ResourceAmounts};
use super::session::Peer;
use crate::net::listener::{REQUEST_CUTOFF_AFTER_SHUTDOWN, wait_until_set};

/// A successor that does not serve yet gets the limits divided by this.
const FIRST_SHARE_DIVISOR: usize = 32;

impl Handover {
    /// Transfers limits to a successor: a small share at once, so that it can start, half once it
    /// serves, and the remaining connections once this process shuts down. Until the successor
    /// serves, this process needs the rest for its own clients. Never returns.
    pub(super) async fn transfer_limits(
        &self,
        peer: Peer,
        transfer_sender: &mpsc::UnboundedSender<ResourceAmounts>,
    ) {
        if peer == Peer::Successor {
            let owned = self.limits.owned();
            let first = owned.part(FIRST_SHARE_DIVISOR);
            self.transfer_all(first, transfer_sender).await;
            wait_until_set(&mut self.successor_serving.subscribe()).await;
            let rest = owned.half().combine(first, usize::saturating_sub);
            self.transfer_all(rest, transfer_sender).await;
            wait_until_set(&mut self.shutdown.clone()).await;
            // until the cutoff, clients may still send requests on idle connections of this process
            sleep(REQUEST_CUTOFF_AFTER_SHUTDOWN).await;
            let remaining = self.limits.owned().client_sockets;
            self.limits
                .transfer_connections(remaining, transfer_sender)
                .await;
        }
        pending::<()>().await;
    }

    async fn transfer_all(
        &self,
        amounts: ResourceAmounts,
        transfer_sender: &mpsc::UnboundedSender<ResourceAmounts>,
    ) {
        let limits = &self.limits;
        tokio::join!(
            limits.transfer_connections(amounts.client_sockets, transfer_sender),
            limits.transfer(Resource::Memory, amounts.memory_kib, transfer_sender),
        );
    }
}
