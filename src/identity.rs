//! The API keys of clients. Each key belongs to a node of the budget tree, for example a class of a
//! school.
//!
//! A key has the form `sk-ID-SECRET`. The id selects the stored entry, which contains a hash of the
//! secret but not the secret itself. The secret has 256 random bits, so one SHA-256 is as safe as a
//! slow hash, and a rejection costs almost nothing. Hashes are compared in constant time, and a
//! hash is computed for an unknown id too, so the duration of a rejection reveals nothing. The
//! module does no I/O, and a rejected key leaves no state behind.

use rustc_hash::FxHashMap;
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;
use thiserror::Error;

/// The maximum length of a key, in bytes.
const MAX_KEY_BYTES: usize = 128;
/// The maximum length of a key's id, in bytes.
const MAX_KEY_ID_BYTES: usize = 32;
/// The maximum number of valid keys.
pub const MAX_KEYS: usize = 200_000;
/// The number of random bytes in a secret: 256 bits.
const SECRET_BYTES: usize = 32;
/// The prefix of every key.
const KEY_PREFIX: &str = "sk-";
/// The prefix of the text form of a hash.
const HASH_PREFIX: &str = "sha256:";
/// The length of a SHA-256 hash, in bytes.
const HASH_BYTES: usize = 32;

/// The SHA-256 hash of a secret.
pub type SecretHash = [u8; HASH_BYTES];

/// The stored entry of a valid key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyEntry {
    /// The path of the node that the key belongs to.
    pub node: String,
    /// The hash of the key's secret.
    pub hash: SecretHash,
}

/// Why a request is not authenticated.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum AuthenticationError {
    /// The request has no key.
    #[error("the request has no API key")]
    Missing,
    /// The key is not one of the valid keys.
    #[error("the API key is not valid")]
    Unknown,
}

/// The key of a request that has been authenticated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AuthenticatedKey<'a> {
    /// The id of the key.
    pub id: &'a str,
    /// The path of the node that the key belongs to.
    pub node: &'a str,
}

/// The parts of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeyParts<'a> {
    /// The id, which selects the stored entry.
    pub id: &'a str,
    /// The secret.
    pub secret: &'a str,
}

/// All valid keys, by id.
#[derive(Clone, Debug, Default)]
pub struct ApiKeys(FxHashMap<String, KeyEntry>);

impl ApiKeys {
    /// Adds a key. Returns false and adds nothing if its id is already in use or there are already
    /// [`MAX_KEYS`] keys.
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

    /// Whether a key with this id exists and still belongs to this node.
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
        let hashes_match = bool::from(hash_secret(secret).ct_eq(&stored_hash));
        match entry {
            Some(KeyEntry { node, .. }) if hashes_match => Ok(AuthenticatedKey { id, node }),
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

/// Splits a key into its parts. `None` if the text does not have the form of a key.
pub fn split_key(key: &str) -> Option<KeyParts<'_>> {
    let (id, secret) = key.strip_prefix(KEY_PREFIX)?.split_once('-')?;
    let is_well_formed = key.len() <= MAX_KEY_BYTES && is_valid_key_id(id) && !secret.is_empty();
    is_well_formed.then_some(KeyParts { id, secret })
}

/// The hash of a secret.
pub fn hash_secret(secret: &str) -> SecretHash {
    Sha256::digest(secret.as_bytes()).into()
}

/// Formats a hash for the keys file.
pub fn format_hash(hash: &SecretHash) -> String {
    let hex: String = hash.iter().map(|byte| format!("{byte:02x}")).collect();
    format!("{HASH_PREFIX}{hex}")
}

/// Parses a hash from the keys file. `None` if the text is not a valid hash.
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

/// Formats a new key with this id. Its secret encodes the random bytes that the caller passes.
pub fn format_key(id: &str, random: &[u8; SECRET_BYTES]) -> String {
    use base64::Engine;
    let secret = base64::engine::general_purpose::URL_SAFE_NO_PAD.encode(random);
    format!("{KEY_PREFIX}{id}-{secret}")
}

#[cfg(test)]
mod tests;
