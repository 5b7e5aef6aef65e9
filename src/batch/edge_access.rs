//! The edge as the batch service uses it, for chat requests of its clients and for the lines of its
//! batches.

use std::sync::Arc;

use crate::edge::Edge;
use crate::request_ids::RequestIds;

/// The edge, and the request ids that are in use at any of the router's addresses.
#[derive(Clone)]
pub struct EdgeAccess {
    /// Checks keys and budgets, and sends chat requests along the chain of their model.
    pub edge: Arc<Edge>,
    /// Reserves the id that model servers see for a request.
    pub request_ids: RequestIds,
}
