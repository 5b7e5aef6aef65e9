//! Access to the edge for the batch service, which uses it for clients' chat requests and for the
//! lines of batches.

use std::sync::Arc;

use crate::edge::Edge;
use crate::request_ids::RequestIds;

/// The edge, and the request ids in use on all of the router's addresses.
#[derive(Clone)]
pub struct EdgeAccess {
    /// Checks keys and budgets, and sends each chat request to its model or the model's fallbacks.
    pub edge: Arc<Edge>,
    /// Reserves the request id that is sent to model servers.
    pub request_ids: RequestIds,
}
