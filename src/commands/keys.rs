//! `stilespan key`: generates keys, and hashes them for the keys file.

use std::io::Read;

use rand::TryRng;
use rand::rngs::SysRng;

use super::CommandError;
use crate::identity::{self, KeyParts};

/// The maximum number of bytes that are read from standard input.
const MAX_INPUT_BYTES: u64 = 4096;
/// The size of a key's secret, in random bytes.
const SECRET_BYTES: usize = 32;

/// Generates a key and prints it with its entry for the keys file.
pub fn new_key(id: &str, node: &str) -> Result<(), CommandError> {
    if !identity::is_valid_key_id(id) {
        return Err(CommandError::InvalidKeyId(id.into()));
    }
    let mut random = [0; SECRET_BYTES];
    SysRng
        .try_fill_bytes(&mut random)
        .map_err(CommandError::NoRandomBytes)?;
    let key = identity::format_key(id, &random);
    println!("# give this key to the class now; it is not stored anywhere: {key}");
    print_entry(&key, node);
    Ok(())
}

/// Reads a key from standard input and prints its entry for the keys file.
pub fn hash_key() -> Result<(), CommandError> {
    let mut text = String::new();
    std::io::stdin()
        .take(MAX_INPUT_BYTES)
        .read_to_string(&mut text)
        .map_err(CommandError::StandardInput)?;
    let key = text.trim();
    if identity::split_key(key).is_none() {
        return Err(CommandError::NoKeyInInput);
    }
    print_entry(key, "DISTRICT/SCHOOL/CLASS");
    Ok(())
}

fn print_entry(key: &str, node: &str) {
    if let Some(KeyParts { id, secret }) = identity::split_key(key) {
        let hash = identity::format_hash(&identity::hash_secret(secret));
        println!("[[key]]\nid = {id:?}\nnode = {node:?}\nhash = \"{hash}\"");
    }
}
