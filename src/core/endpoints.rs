//! The model servers of the endpoint list, as discovery reports them to the core, and the core's
//! interfaces to upstreams ([`Connector`]) and to discovery ([`DiscoveryCommand`]). This module
//! does not depend on the source of the list.

use tokio::sync::mpsc;

use super::UpstreamCommand;
use crate::interface::{EndpointListKind, ReplicaEntry, ReplicaId};

/// A model server in the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// Its name, which is the same at every router.
    pub name: String,
    /// The address at which it listens. Opaque to the core.
    pub address: String,
    /// The attributes that are passed to the decision module.
    pub entry: ReplicaEntry,
    /// The models that the list names for it; `None` if the list names none. Opaque to the core.
    pub models: Option<Vec<String>>,
}

/// A watch event or poll result of the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointsUpdate {
    /// Which endpoints the update contains: all of them, those that changed, or none after a
    /// failure.
    pub kind: EndpointListKind,
    /// The endpoints.
    pub endpoints: Vec<Endpoint>,
}

/// Starts upstreams. The core has one command channel for each endpoint and drops it when the
/// endpoint leaves the list.
pub trait Connector: Send {
    /// Starts the upstream actor of an endpoint.
    fn open(&self, replica: ReplicaId, endpoint: &Endpoint) -> mpsc::Sender<UpstreamCommand>;
}

/// A command for the discovery actor.
#[derive(Clone, Debug, PartialEq)]
pub enum DiscoveryCommand {
    /// Watch the list from now on, because the decision module needs its changes.
    Watch,
    /// Use another discovery server from now on.
    ChangeAddress {
        /// The address of the discovery server. Opaque to the core.
        address: String,
    },
    /// Fetch the complete list immediately and drop any call in progress. The process was
    /// suspended, so the result of that call may be out of date.
    Refresh,
}
