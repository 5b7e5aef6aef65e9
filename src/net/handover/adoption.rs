//! Takes over the state of a predecessor that this process did not start with.

use tracing::warn;

use super::Handover;
use super::hello_reply::HelloReply;
use crate::net::discovery::endpoint_list::EndpointList;

impl Handover {
    /// Takes over what the predecessor's reply has and this process lacks.
    pub(super) async fn adopt(&self, reply: HelloReply) {
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
