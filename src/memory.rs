//! The memory budget of the process, derived from the limit in its settings.
//!
//! The limit has three parts: what the process needs itself, an allowance for each connection, and
//! the shared part. The allowance covers what every connection may hold at any time, so ordinary
//! requests and answers never wait for memory. Larger bodies and chunks borrow from the shared
//! part; where none is left, the reader waits (backpressure), then the request is rejected or the
//! stream closed. `docs/design/memory.md` lists all buffers.

use std::sync::Arc;

use bytes::Bytes;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// The least memory limit with which a process holds a client for every third of 1,024 descriptors,
/// in MiB. With less, fewer clients may be connected.
pub const MIN_MEMORY_MIB: usize = 32;
/// What the process needs without connections: code, tables of limited size, the endpoint list.
const BASE_BYTES: usize = 10 << 20;
/// What a client's connection and the connection to its model server may hold together at any time.
const CONNECTION_BYTES: usize = 32 << 10;
/// The shared part is the memory limit divided by this.
const SHARED_DIVISOR: usize = 3;
/// Answers may use the shared part divided by this, so that slow readers leave memory for requests.
const ANSWERS_DIVISOR: usize = 2;
/// The minimum of the shared part, in KiB: space for one body of the maximum size, 256 KiB, in each
/// of the two processes of a handover.
const MIN_SHARED_KIB: usize = 2 * 256;
/// The minimum number of clients' connections.
const MIN_CONNECTIONS: usize = 64;
const BYTES_PER_PERMIT: usize = 1 << 10;

/// How a memory limit is divided.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryPlan {
    /// The shared part, in KiB.
    pub shared_kib: usize,
    /// The number of clients' connections for which there is memory.
    pub connections: usize,
}

impl MemoryPlan {
    /// Divides a memory limit.
    pub fn new(limit_bytes: usize) -> MemoryPlan {
        let shared_bytes = limit_bytes / SHARED_DIVISOR;
        let connection_bytes = (limit_bytes - shared_bytes).saturating_sub(BASE_BYTES);
        MemoryPlan {
            shared_kib: (shared_bytes >> 10).max(MIN_SHARED_KIB),
            connections: (connection_bytes / CONNECTION_BYTES).max(MIN_CONNECTIONS),
        }
    }
}

/// What memory of the shared part is used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemoryUse {
    /// A request's body, until the request is answered.
    Request,
    /// A chunk of an answer, until it has been written to the client.
    Answer,
}

/// The shared part of the memory. Clones share the same part.
#[derive(Clone, Debug)]
pub struct MemoryBudget {
    shared: Arc<Semaphore>,
    /// Limits the answers' use of the shared part.
    answers: Arc<Semaphore>,
}

/// Memory of the shared part, returned when dropped.
#[derive(Debug)]
pub struct MemoryReservation {
    shared: OwnedSemaphorePermit,
    _answers: Option<OwnedSemaphorePermit>,
}

impl MemoryBudget {
    /// A budget of `total_kib` KiB, of which this process owns `owned_kib`.
    pub fn new(total_kib: usize, owned_kib: usize) -> MemoryBudget {
        MemoryBudget {
            shared: Arc::new(Semaphore::new(owned_kib)),
            answers: Arc::new(Semaphore::new(total_kib / ANSWERS_DIVISOR)),
        }
    }

    /// Adds to this process's share.
    pub fn add_capacity(&self, kib: usize) {
        self.shared.add_permits(kib);
    }

    /// Removes between 1 and `max_kib` KiB from this process's share, as they become free, and
    /// returns their number.
    pub async fn remove_capacity(&self, max_kib: usize) -> usize {
        let Ok(first) = self.shared.acquire().await else {
            return 0;
        };
        first.forget();
        1 + self.shared.forget_permits(max_kib - 1)
    }

    /// The memory that is free, in KiB.
    pub fn available_kib(&self) -> usize {
        self.shared.available_permits()
    }

    /// Reserves memory if it is free.
    pub fn try_reserve(&self, memory_use: MemoryUse, bytes: usize) -> Option<MemoryReservation> {
        let permits = permits(bytes);
        let answers = match memory_use {
            MemoryUse::Request => None,
            MemoryUse::Answer => Some(self.answers.clone().try_acquire_many_owned(permits).ok()?),
        };
        let shared = self.shared.clone().try_acquire_many_owned(permits).ok()?;
        Some(MemoryReservation {
            shared,
            _answers: answers,
        })
    }

    /// Waits until memory is free and reserves it. The caller has to limit the wait. `None` if the
    /// budget is closed.
    pub async fn reserve(&self, memory_use: MemoryUse, bytes: usize) -> Option<MemoryReservation> {
        let permits = permits(bytes);
        let answers = match memory_use {
            MemoryUse::Request => None,
            MemoryUse::Answer => {
                let answers = self.answers.clone().acquire_many_owned(permits).await;
                Some(answers.ok()?)
            }
        };
        let shared = self.shared.clone().acquire_many_owned(permits).await.ok()?;
        Some(MemoryReservation {
            shared,
            _answers: answers,
        })
    }
}

impl MemoryReservation {
    /// The reserved number of bytes.
    pub fn bytes(&self) -> usize {
        self.shared.num_permits() * BYTES_PER_PERMIT
    }

    /// Adds the memory of another reservation of a request.
    pub fn merge(&mut self, other: MemoryReservation) {
        self.shared.merge(other.shared);
    }
}

fn permits(bytes: usize) -> u32 {
    u32::try_from(bytes.div_ceil(BYTES_PER_PERMIT)).unwrap_or(u32::MAX)
}

/// Bytes together with what has to be returned once they are no longer needed.
struct GuardedBytes<G> {
    bytes: Bytes,
    _guard: G,
}

impl<G> AsRef<[u8]> for GuardedBytes<G> {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Returns the same bytes, whose last clone drops `guard`.
pub fn with_guard<G: Send + 'static>(bytes: Bytes, guard: G) -> Bytes {
    Bytes::from_owner(GuardedBytes {
        bytes,
        _guard: guard,
    })
}

#[cfg(test)]
mod tests;
