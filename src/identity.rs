//! Identity: keys that clients show, and the nodes (a class in a school) that they stand for.
//!
//! Only hashes of keys are held. A key is `sk-ID-SECRET`: the ID leads to its entry, the SECRET
//! holds 256 random bits, so that one SHA-256 of it is as good as a slow hash and costs a refusal
//! next to nothing. The hash is compared in constant time, and one is computed for an unknown ID
//! too: how long a refusal takes tells nothing. No I/O; a refused key leaves nothing behind.

use rustc_hash::FxHashMap;
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

/// A key's text holds so much at most.
const MAX_KEY_LENGTH: usize = 128;
/// ApiKeys at the most.
pub const MAX_KEYS: usize = 200_000;
/// Bytes of a secret.
const SECRET_BYTES: usize = 32;

/// The hash of a secret.
pub type SecretHash = [u8; 32];

/// A key as it is held.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyEntry {
    /// The path of the node that it stands for.
    pub node: String,
    /// The hash of its secret.
    pub hash: SecretHash,
}

/// Why a key is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AuthenticationError {
    /// None was shown.
    Missing,
    /// It is none of those that are valid.
    Unknown,
}

/// All valid keys, by their IDs.
#[derive(Clone, Debug, Default)]
pub struct ApiKeys(FxHashMap<String, KeyEntry>);

impl ApiKeys {
    /// Adds a key; false where its ID is taken or there are too many.
    pub fn insert(&mut self, id: String, entry: KeyEntry) -> bool {
        if self.0.len() >= MAX_KEYS || self.0.contains_key(&id) {
            return false;
        }
        self.0.insert(id, entry);
        true
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Whether a key of this ID is valid for this node still.
    pub fn is_valid_for(&self, id: &str, node: &str) -> bool {
        self.0.get(id).is_some_and(|e| e.node == node)
    }

    /// The ID and the node's path that the value of an `Authorization` header stands for.
    pub fn authenticate<'a>(
        &'a self,
        authorization: Option<&'a str>,
    ) -> Result<(&'a str, &'a str), AuthenticationError> {
        let shown = authorization.ok_or(AuthenticationError::Missing)?.trim();
        let key = shown
            .split_once(' ')
            .filter(|(scheme, _)| scheme.eq_ignore_ascii_case("bearer"));
        let key = key.ok_or(AuthenticationError::Missing)?.1.trim();
        let (id, secret) = split_key(key).ok_or(AuthenticationError::Unknown)?;
        let entry = self.0.get(id);
        let same = hash_secret(secret).ct_eq(&entry.map_or([0; 32], |e| e.hash));
        entry
            .filter(|_| bool::from(same))
            .map(|e| (id, e.node.as_str()))
            .ok_or(AuthenticationError::Unknown)
    }
}

/// Whether a text can be a key's ID.
pub fn is_valid_key_id(text: &str) -> bool {
    (1..=32).contains(&text.len()) && text.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'_')
}

/// A key's ID and its secret.
pub fn split_key(key: &str) -> Option<(&str, &str)> {
    let (id, secret) = key.strip_prefix("sk-")?.split_once('-')?;
    (key.len() <= MAX_KEY_LENGTH && is_valid_key_id(id) && !secret.is_empty())
        .then_some((id, secret))
}

/// The hash of a secret.
pub fn hash_secret(secret: &str) -> SecretHash {
    Sha256::digest(secret.as_bytes()).into()
}

/// A hash as files hold it.
pub fn format_hash(hash: &SecretHash) -> String {
    let hex: String = hash.iter().map(|b| format!("{b:02x}")).collect();
    format!("sha256:{hex}")
}

/// Reads a hash as files hold it.
pub fn parse_hash(text: &str) -> Option<SecretHash> {
    let hex = text
        .strip_prefix("sha256:")
        .filter(|h| h.len() == 64 && h.is_ascii())?;
    let mut hash = [0; 32];
    for (k, byte) in hash.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&hex[2 * k..2 * k + 2], 16).ok()?;
    }
    Some(hash)
}

/// A new key, of random bytes that the caller brings.
pub fn format_key(id: &str, random: &[u8; SECRET_BYTES]) -> String {
    use base64::Engine;
    format!(
        "sk-{id}-{}",
        base64::engine::general_purpose::URL_SAFE_NO_PAD.encode(random)
    )
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn only_the_whole_key_is_valid() {
        let key = format_key("k1", &[7; 32]);
        let (id, secret) = split_key(&key).unwrap();
        let entry = KeyEntry {
            node: "lakes/north/7b".into(),
            hash: parse_hash(&format_hash(&hash_secret(secret))).unwrap(),
        };
        let mut keys = ApiKeys::default();
        assert!(keys.insert(id.into(), entry.clone()) && !keys.insert(id.into(), entry));
        assert_eq!(
            keys.authenticate(Some(&format!("Bearer {key}"))),
            Ok(("k1", "lakes/north/7b"))
        );
        assert_eq!(
            keys.authenticate(Some(&format!("bearer  {key} "))),
            Ok(("k1", "lakes/north/7b"))
        );
        for wrong in [
            &key[..key.len() - 1],
            &format!("{key}x"),
            "sk-k1-",
            "sk-k2-x",
            "k1",
            "sk-k1",
        ] {
            assert_eq!(
                keys.authenticate(Some(&format!("Bearer {wrong}"))),
                Err(AuthenticationError::Unknown),
                "{wrong}"
            );
        }
        assert_eq!(keys.authenticate(None), Err(AuthenticationError::Missing));
        assert_eq!(
            keys.authenticate(Some(&key)),
            Err(AuthenticationError::Missing)
        );
        assert_eq!(parse_hash("sha256:zz"), None);
    }
}
