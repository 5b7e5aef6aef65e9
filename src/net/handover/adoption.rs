//! Takes over the state of a predecessor that this process did not start with.

use tracing::warn;

use super::Handover;
use super::hello_reply::HelloReply;
use crate::core::DiscoveryCommand;
use crate::interface::EndpointListKind;
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
        let revision = list.revision();
        let resolved = list.resolved(EndpointListKind::Complete, &self.localities);
        let command = DiscoveryCommand::Adopt {
            version: revision,
            update: resolved,
        };
        let _ = self.discovery.send(command).await;
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
