//! Idempotency keys. If a client repeats a request that creates an object, with the same key, the
//! response describes the object that the first request created.

use std::collections::{HashMap, VecDeque};
use std::hash::{BuildHasher, RandomState};
use std::sync::{Mutex, MutexGuard, PoisonError};

use crate::api::ApiError;

/// The name of the header in error messages.
const HEADER: &str = "Idempotency-Key";
/// The maximum number of keys kept. When it is exceeded, the oldest key is removed.
const MAX_KEYS: usize = 1024;
/// The maximum length of a key, including its prefix of operation and node.
const MAX_KEY_BYTES: usize = 255;

/// The idempotency keys of recent requests.
#[derive(Default)]
pub(super) struct IdempotencyKeys {
    table: Mutex<KeyTable>,
}

#[derive(Default)]
struct KeyTable {
    hasher: RandomState,
    entries: HashMap<String, KeyEntry>,
    /// The keys, oldest first.
    order: VecDeque<String>,
}

struct KeyEntry {
    /// The hash of the request that first used the key.
    request_hash: u64,
    /// The id of the created object; `None` while the request is in progress.
    created_id: Option<String>,
}

/// The result of claiming a key.
pub(super) enum Claim {
    /// The key is new. The caller must execute the request, then complete the key.
    New,
    /// An earlier request with this key created the object with this id.
    Created(String),
}

impl IdempotencyKeys {
    fn lock(&self) -> MutexGuard<'_, KeyTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Claims a key for a request. Fails if the key was used with a different request, or if the
    /// first request with this key is still in progress.
    pub(super) fn claim(&self, key: &str, request: &[u8]) -> Result<Claim, ApiError> {
        if key.is_empty() || key.len() > MAX_KEY_BYTES {
            let message = format!("{HEADER} must hold 1 to {MAX_KEY_BYTES} bytes");
            return Err(ApiError::new(400, HEADER, message));
        }
        let mut table = self.lock();
        let request_hash = table.hasher.hash_one(request);
        let Some(entry) = table.entries.get(key) else {
            table.insert(key, request_hash);
            return Ok(Claim::New);
        };
        if entry.request_hash != request_hash {
            let message = "this Idempotency-Key was used for another request";
            return Err(ApiError::new(422, HEADER, message));
        }
        match &entry.created_id {
            Some(id) => Ok(Claim::Created(id.clone())),
            None => Err(ApiError::new(409, HEADER, "the first request is under way")),
        }
    }

    /// Records the id of the object that the request with this key created. `None` means that the
    /// request failed; the key can then be used again.
    pub(super) fn complete(&self, key: &str, created_id: Option<&str>) {
        let mut table = self.lock();
        let Some(id) = created_id else {
            table.entries.remove(key);
            table.order.retain(|other| other != key);
            return;
        };
        if let Some(entry) = table.entries.get_mut(key) {
            entry.created_id = Some(id.to_string());
        }
    }
}

impl KeyTable {
    fn insert(&mut self, key: &str, request_hash: u64) {
        if self.order.len() >= MAX_KEYS
            && let Some(oldest) = self.order.pop_front()
        {
            self.entries.remove(&oldest);
        }
        let entry = KeyEntry {
            request_hash,
            created_id: None,
        };
        self.order.push_back(key.to_string());
        self.entries.insert(key.to_string(), entry);
    }
}
