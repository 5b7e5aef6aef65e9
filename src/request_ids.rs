//! The ids of clients' requests. A model server can't tell two requests of the same id apart, so an
//! id is used once, even if its copies come from different listeners or reach different processes
//! of the router.
//!
//! - `hash`: the hash of an id, which is the same at all processes;
//! - `table`: the ids of the requests in flight and of those that finished most recently;
//! - `sharing`, `link`: which process decides whether an id is free, and how the others learn of
//!   it.

mod hash;
mod link;
mod sharing;
mod table;

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use thiserror::Error;

pub use hash::{IdHash, IdKey};
pub use link::IdLink;
pub use sharing::{IdChange, IdClaim, IdRequest};
use sharing::{OwnerAnswer, Sharing};
use table::IdTable;

/// The maximum length of an `X-Trace-Id`, in bytes. Bounds the memory for ids.
const MAX_ID_BYTES: usize = 128;

/// Why an id can't be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ClaimError {
    /// A request in flight or a recently finished request has the id.
    #[error("the id is in use")]
    InUse,
    /// The process that decides about ids does not answer.
    #[error("the process that owns the ids does not answer")]
    OwnerSilent,
}

struct State {
    key: IdKey,
    table: IdTable,
    sharing: Sharing,
}

/// The ids of requests in flight and of recently finished requests. Clones share one table.
#[derive(Clone)]
pub struct RequestIds {
    state: Arc<Mutex<State>>,
}

impl Default for RequestIds {
    fn default() -> RequestIds {
        RequestIds::new(IdKey::random())
    }
}

/// An RAII guard of a request's id. The id is in use until the guard is dropped, and is remembered
/// afterwards.
pub struct RequestIdGuard {
    id: Box<str>,
    hash: IdHash,
    request_ids: RequestIds,
    /// Whether the id is remembered after the drop, because a model server may have seen it.
    remember: bool,
}

impl RequestIds {
    /// Creates an empty table. All processes of a router use the same key.
    pub fn new(key: IdKey) -> RequestIds {
        let state = State {
            key,
            table: IdTable::default(),
            sharing: Sharing::default(),
        };
        RequestIds {
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// The key of the hashes.
    pub fn key(&self) -> IdKey {
        self.lock().key
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Acquires an id for a request of this process alone. Returns `None` if a request in flight
    /// has the same id, because a model server could not tell the two apart, or if a recently
    /// finished request had it, because every request must have a fresh id.
    pub fn acquire(&self, id: &str) -> Option<RequestIdGuard> {
        let mut state = self.lock();
        let hash = state.key.hash(id);
        if !state.table.begin(hash) {
            return None;
        }
        state.sharing.announce(IdChange::Taken(hash));
        Some(RequestIdGuard {
            id: id.into(),
            hash,
            request_ids: self.clone(),
            remember: true,
        })
    }

    /// Acquires an id for a request, at this process and at the one that owns the ids. Waits for at
    /// most `limit`.
    pub async fn claim(&self, id: &str, limit: Duration) -> Result<RequestIdGuard, ClaimError> {
        let guard = self.acquire(id).ok_or(ClaimError::InUse)?;
        match self.ask_owner(guard.hash, limit).await {
            OwnerAnswer::Granted => Ok(guard),
            OwnerAnswer::Refused => Err(ClaimError::InUse),
            OwnerAnswer::Silent => {
                guard.release();
                Err(ClaimError::OwnerSilent)
            }
        }
    }
}

impl RequestIdGuard {
    /// Returns the id.
    pub fn id(&self) -> &str {
        &self.id
    }

    /// Releases the id without remembering it. No model server has seen it, so a client may send
    /// the same request again.
    pub fn release(mut self) {
        self.remember = false;
    }
}

impl Drop for RequestIdGuard {
    fn drop(&mut self) {
        let mut state = self.request_ids.lock();
        if self.remember {
            state.table.finish(self.hash);
        } else {
            state.table.cancel(self.hash);
            state.sharing.announce(IdChange::Released(self.hash));
        }
    }
}

/// Returns whether a text is a valid id.
pub fn is_request_id(id: &str) -> bool {
    (1..=MAX_ID_BYTES).contains(&id.len()) && id.bytes().all(|byte| byte.is_ascii_graphic())
}

#[cfg(test)]
mod tests;
