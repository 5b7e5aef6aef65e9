//! Takes over the state of a predecessor that this process did not start with.

use tracing::warn;

use super::Handover;
use super::hello_reply::HelloReply;
use super::subscription::Subscription;
use crate::net::discovery::endpoint_list::EndpointList;

impl Handover {
    /// Takes over what the predecessor's reply has and this process lacks, and shares request ids
    /// with the predecessor if it does.
    pub(super) async fn adopt(&self, reply: HelloReply, subscription: &mut Subscription<'_>) {
        let can_share = reply
            .id_key
            .is_some_and(|key| self.request_ids.adopt_key(key));
        if can_share {
            subscription.share_ids_with_predecessor();
        }
        if let Some(maintenance) = &reply.maintenance {
            self.lifecycle.adopt(maintenance).await;
        }
        if let Some(list) = reply.endpoints {
            self.adopt_endpoints(list).await;
        }
    }

    /// Takes over an endpoint list of the predecessor.
    pub(super) async fn adopt_endpoints(&self, list: EndpointList) {
        // no receiver: the list comes from an inventory, or nothing changes it
        let _ = self.predecessor_lists.send(list).await;
    }

    /// Takes over the maintenance state that the predecessor has written to the file. Called if the
    /// predecessor has not acknowledged the takeover: commands that it confirmed may not have
    /// reached this process, but they are in the file.
    pub(super) async fn adopt_stored_state(&self) {
        warn!("the predecessor process has not acknowledged the takeover; reading its file");
        if let Some(maintenance) = self.rendezvous.read_maintenance().await {
            self.lifecycle.adopt(&maintenance).await;
        }
    }
}
