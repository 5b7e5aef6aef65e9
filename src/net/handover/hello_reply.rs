//! The state in a predecessor's reply to the hello.

use crate::net::discovery::endpoint_list::EndpointList;
use crate::ops::maintenance_state::MaintenanceState;
use crate::request_ids::IdKey;

/// The state in the predecessor's reply to the hello. Empty if it has sent no valid reply in time;
/// a reply that comes later is handled like any other message.
#[derive(Debug, Default)]
pub struct HelloReply {
    /// The predecessor's maintenance state.
    pub maintenance: Option<MaintenanceState>,
    /// The predecessor's endpoint list, if it has one.
    pub endpoints: Option<EndpointList>,
    /// The key of the hashes of request ids, if the predecessor shares them.
    pub id_key: Option<IdKey>,
}
