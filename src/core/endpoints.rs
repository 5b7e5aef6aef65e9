//! Endpoints: the model servers of the endpoint list, as discovery reports them to the core, and
//! the two ports through which the core uses them. Where the list comes from is not known here.

use tokio::sync::mpsc;

use super::UpstreamCommand;
use crate::interface::{EndpointListKind, ReplicaEntry, ReplicaId};

/// A model server in the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// Its name, the same at every router.
    pub name: String,
    /// Where it listens. Opaque to the core.
    pub address: String,
    /// What the decision module gets to know of it.
    pub entry: ReplicaEntry,
    /// The models that the list names for it; none where it names none. Opaque to the core.
    pub models: Option<Vec<String>>,
}

/// A watch event or poll result of the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointsUpdate {
    /// What the endpoints are: all of them, those that changed, or none after a failure.
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
    /// Watch the list from now on: the decision module wants its changes.
    Watch,
    /// Use another discovery server from now on.
    ChangeAddress {
        /// Its address. Opaque to the core.
        address: String,
    },
    /// Fetch the complete list at once and drop any call in progress: the process was suspended, so
    /// what that call brings may be out of date.
    Refresh,
    /// Use the list as another process of this router has it.
    Adopt {
        /// The list's version.
        version: u64,
        /// The list.
        update: EndpointsUpdate,
    },
}
