//! What all connections share.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::Semaphore;

use super::idempotency::IdempotencyKeys;
use crate::batch::edge_access::EdgeAccess;
use crate::batch::jobs::BatchJobs;
use crate::batch::store::Store;

/// Memory for request bodies, in KiB: eight of the largest.
const BODY_MEMORY_KIB: usize = 2 << 10;

/// What all connections share.
pub struct HttpContext {
    pub(super) store: Store,
    pub(super) jobs: BatchJobs,
    /// The edge, where it is on. Callers have to be identified then.
    pub(super) edge: Option<EdgeAccess>,
    /// The endpoints that a batch may name.
    pub(super) endpoints: Vec<String>,
    /// The longest completion window.
    pub(super) max_completion_window: Duration,
    pub(super) idempotency_keys: IdempotencyKeys,
    /// In KiB.
    pub(super) body_memory: Arc<Semaphore>,
}

impl HttpContext {
    /// The context of an API to these files, batches and, where it is on, the edge.
    pub fn new(
        store: Store,
        jobs: BatchJobs,
        edge: Option<EdgeAccess>,
        endpoints: Vec<String>,
        max_completion_window: Duration,
    ) -> HttpContext {
        HttpContext {
            store,
            jobs,
            edge,
            endpoints,
            max_completion_window,
            idempotency_keys: IdempotencyKeys::default(),
            body_memory: Arc::new(Semaphore::new(BODY_MEMORY_KIB)),
        }
    }
}
