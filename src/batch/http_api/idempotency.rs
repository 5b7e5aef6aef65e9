//! Idempotency keys: a request that creates something, and is repeated with its key, gets what the
//! first one created.

use std::collections::{HashMap, VecDeque};
use std::hash::{BuildHasher, RandomState};
use std::sync::{Mutex, MutexGuard, PoisonError};

use crate::api::ApiError;

/// The header, as errors name it.
const HEADER: &str = "Idempotency-Key";
/// The most keys that are remembered; the oldest is forgotten first.
const MAX_KEYS: usize = 1024;
/// The longest key, with its scope.
const MAX_KEY_BYTES: usize = 255;

/// The keys that are remembered.
#[derive(Default)]
pub(super) struct IdempotencyKeys {
    table: Mutex<KeyTable>,
}

#[derive(Default)]
struct KeyTable {
    hasher: RandomState,
    entries: HashMap<String, KeyEntry>,
    /// The keys, the oldest first.
    order: VecDeque<String>,
}

struct KeyEntry {
    /// The hash of the request that the key was used with.
    request_hash: u64,
    /// The id of what was created; none while the request is in progress.
    created_id: Option<String>,
}

/// What a key stands for.
pub(super) enum Claim {
    /// It is new: the request is to be executed, and the key completed.
    New,
    /// The request was executed before, and created what has this id.
    Created(String),
}

impl IdempotencyKeys {
    fn lock(&self) -> MutexGuard<'_, KeyTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Claims a key for a request. Fails if the key was used with another request, or the first
    /// request with it is still in progress.
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

    /// Completes a key with the id of what was created. Without one, the request failed, and the
    /// key can be used again.
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
