//! Identity: the API keys of clients, and the nodes of the budget tree (a class of a school, for
//! example) that they stand for.
//!
//! Only hashes of keys are stored. A key is `sk-ID-SECRET`: the id selects its entry, and the
//! secret holds 256 random bits, so that one SHA-256 of it is as safe as a slow hash and a
//! rejection costs next to nothing. Hashes are compared in constant time, and one is computed for
//! an unknown id too, so that the time of a rejection reveals nothing. The module does no I/O, and a
//! rejected key leaves no state behind.

use rustc_hash::FxHashMap;
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;
use thiserror::Error;

/// The most bytes of a key's text.
const MAX_KEY_BYTES: usize = 128;
/// The most bytes of a key's id.
const MAX_KEY_ID_BYTES: usize = 32;
/// The most valid keys.
pub const MAX_KEYS: usize = 200_000;
/// The random bytes of a secret: 256 bits.
const SECRET_BYTES: usize = 32;
/// What every key begins with.
const KEY_PREFIX: &str = "sk-";
/// What the text of a hash begins with.
const HASH_PREFIX: &str = "sha256:";
/// The bytes of a SHA-256 hash.
const HASH_BYTES: usize = 32;

/// The SHA-256 hash of a secret.
pub type SecretHash = [u8; HASH_BYTES];

/// A valid key as it is stored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyEntry {
    /// The path of the node that the key stands for.
    pub node: String,
    /// The hash of its secret.
    pub hash: SecretHash,
}

/// Why a request is not authenticated.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum AuthenticationError {
    /// The request has no key.
    #[error("the request has no API key")]
    Missing,
    /// The key is none of the valid ones.
    #[error("the API key is not valid")]
    Unknown,
}

/// The key of a request that has been authenticated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AuthenticatedKey<'a> {
    /// The id of the key.
    pub id: &'a str,
    /// The path of the node that the key stands for.
    pub node: &'a str,
}

/// The parts of a key's text.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeyParts<'a> {
    /// The id, which selects the entry.
    pub id: &'a str,
    /// The secret.
    pub secret: &'a str,
}

/// All valid keys, by their ids.
#[derive(Clone, Debug, Default)]
pub struct ApiKeys(FxHashMap<String, KeyEntry>);

impl ApiKeys {
    /// Adds a key. Returns false, and adds nothing, where its id is taken or there are
    /// [`MAX_KEYS`] already.
    pub fn insert(&mut self, id: String, entry: KeyEntry) -> bool {
        if self.0.len() >= MAX_KEYS || self.0.contains_key(&id) {
            return false;
        }
        self.0.insert(id, entry);
        true
    }

    /// The number of keys.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether there are no keys.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Whether a key of this id is still valid for this node.
    pub fn is_valid_for(&self, id: &str, node: &str) -> bool {
        self.0.get(id).is_some_and(|entry| entry.node == node)
    }

    /// Authenticates a request by the value of its `Authorization` header.
    pub fn authenticate<'a>(
        &'a self,
        authorization: Option<&'a str>,
    ) -> Result<AuthenticatedKey<'a>, AuthenticationError> {
        let key = authorization
            .and_then(bearer_token)
            .ok_or(AuthenticationError::Missing)?;
        let KeyParts { id, secret } = split_key(key).ok_or(AuthenticationError::Unknown)?;
        let entry = self.0.get(id);
        let stored_hash = entry.map_or([0; HASH_BYTES], |entry| entry.hash);
        let is_same = bool::from(hash_secret(secret).ct_eq(&stored_hash));
        match entry {
            Some(KeyEntry { node, .. }) if is_same => Ok(AuthenticatedKey { id, node }),
            _ => Err(AuthenticationError::Unknown),
        }
    }
}

/// The token of an `Authorization` header with the scheme `Bearer`.
fn bearer_token(authorization: &str) -> Option<&str> {
    let (scheme, token) = authorization.trim().split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| token.trim())
}

/// Whether a text can be the id of a key: 1 to 32 letters, digits and underscores.
pub fn is_valid_key_id(text: &str) -> bool {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'_';
    (1..=MAX_KEY_ID_BYTES).contains(&text.len()) && text.bytes().all(is_allowed)
}

/// The parts of a key; none where the text is no key.
pub fn split_key(key: &str) -> Option<KeyParts<'_>> {
    let (id, secret) = key.strip_prefix(KEY_PREFIX)?.split_once('-')?;
    let is_key = key.len() <= MAX_KEY_BYTES && is_valid_key_id(id) && !secret.is_empty();
    is_key.then_some(KeyParts { id, secret })
}

/// The hash of a secret.
pub fn hash_secret(secret: &str) -> SecretHash {
    Sha256::digest(secret.as_bytes()).into()
}

/// The text of a hash in the keys' file.
pub fn format_hash(hash: &SecretHash) -> String {
    let hex: String = hash.iter().map(|byte| format!("{byte:02x}")).collect();
    format!("{HASH_PREFIX}{hex}")
}

/// Parses the text of a hash in the keys' file.
pub fn parse_hash(text: &str) -> Option<SecretHash> {
    let hex = text.strip_prefix(HASH_PREFIX)?;
    if hex.len() != 2 * HASH_BYTES || !hex.is_ascii() {
        return None;
    }
    let mut hash = [0; HASH_BYTES];
    for (index, byte) in hash.iter_mut().enumerate() {
        let digits = &hex[2 * index..2 * index + 2];
        *byte = u8::from_str_radix(digits, 16).ok()?;
    }
    Some(hash)
}

/// The text of a new key with this id, from random bytes of the caller.
pub fn format_key(id: &str, random: &[u8; SECRET_BYTES]) -> String {
    use base64::Engine;
    let secret = base64::engine::general_purpose::URL_SAFE_NO_PAD.encode(random);
    format!("{KEY_PREFIX}{id}-{secret}")
}

#[cfg(test)]
mod tests;
