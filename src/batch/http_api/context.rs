//! The state shared by all connections.

use std::time::Duration;

use super::idempotency::IdempotencyKeys;
use crate::batch::edge_access::EdgeAccess;
use crate::batch::jobs::BatchJobs;
use crate::batch::store::Store;
use crate::memory::MemoryBudget;

/// The minimum memory for request bodies in KiB, enough for eight bodies of the maximum size.
const MIN_BODY_MEMORY_KIB: usize = 2 << 10;
/// The limit on the process's memory divided by the memory for request bodies. A chat has its body
/// in memory twice: as it was received, and as it is forwarded.
const BODY_MEMORY_DIVISOR: usize = 8;

/// The state shared by all connections.
pub struct HttpContext {
    pub(super) store: Store,
    pub(super) jobs: BatchJobs,
    /// The edge if it is enabled. It authenticates the callers.
    pub(super) edge: Option<EdgeAccess>,
    /// The values that a batch may have as its `endpoint`.
    pub(super) endpoints: Vec<String>,
    /// The maximum completion window.
    pub(super) max_completion_window: Duration,
    pub(super) idempotency_keys: IdempotencyKeys,
    /// The memory for request bodies.
    pub(super) memory: MemoryBudget,
}

impl HttpContext {
    /// Creates the context of an API to these files and batches, and to the edge if it is enabled.
    /// The process may use `memory_bytes` of memory.
    pub fn new(
        store: Store,
        jobs: BatchJobs,
        edge: Option<EdgeAccess>,
        endpoints: Vec<String>,
        max_completion_window: Duration,
        memory_bytes: usize,
    ) -> HttpContext {
        let body_kib = (memory_bytes / BODY_MEMORY_DIVISOR) >> 10;
        let body_kib = body_kib.max(MIN_BODY_MEMORY_KIB);
        HttpContext {
            store,
            jobs,
            edge,
            endpoints,
            max_completion_window,
            idempotency_keys: IdempotencyKeys::default(),
            memory: MemoryBudget::new(body_kib, body_kib),
        }
    }
}
