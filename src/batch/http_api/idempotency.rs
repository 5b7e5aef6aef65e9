//! Idempotency keys: a create that is repeated under its key is answered as the first one was.

use std::collections::{HashMap, VecDeque};
use std::hash::{BuildHasher, RandomState};
use std::sync::{Mutex, PoisonError};

use crate::api::ApiError;

/// Idempotency keys that are remembered.
const KEYS: usize = 1024;

/// What was created under each key.
#[derive(Default)]
pub(super) struct IdempotencyKeys(Mutex<Keys>);

#[derive(Default)]
struct Keys {
    random: RandomState,
    made: HashMap<String, (u64, Option<String>)>,
    order: VecDeque<String>,
}

impl IdempotencyKeys {
    /// Whether a key is new (none), or what it made; the same key for something else is an error.
    pub(super) fn take(&self, key: &str, asked: &[u8]) -> Result<Option<String>, ApiError> {
        if key.is_empty() || key.len() > 255 {
            return Err(ApiError::new(
                400,
                "Idempotency-Key",
                "Idempotency-Key must hold 1 to 255 bytes",
            ));
        }
        let mut keys = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let asked = keys.random.hash_one(asked);
        match keys.made.get(key) {
            Some((for_what, _)) if *for_what != asked => Err(ApiError::new(
                422,
                "Idempotency-Key",
                "this Idempotency-Key was used for another request",
            )),
            Some((_, Some(id))) => Ok(Some(id.clone())),
            Some((_, None)) => Err(ApiError::new(
                409,
                "Idempotency-Key",
                "the first request is under way",
            )),
            None => {
                if keys.order.len() >= KEYS
                    && let Some(oldest) = keys.order.pop_front()
                {
                    keys.made.remove(&oldest);
                }
                keys.order.push_back(key.to_string());
                keys.made.insert(key.to_string(), (asked, None));
                Ok(None)
            }
        }
    }

    /// What a key made; nothing, and it can be used again.
    pub(super) fn made(&self, key: &str, id: Option<&str>) {
        let mut keys = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        match id {
            Some(id) => {
                keys.made
                    .entry(key.to_string())
                    .and_modify(|m| m.1 = Some(id.to_string()));
            }
            None => {
                keys.made.remove(key);
                keys.order.retain(|k| k != key);
            }
        }
    }
}
