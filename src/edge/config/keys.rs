//! Reads the keys file.

use std::collections::HashSet;
use std::path::Path;

use super::problem::Problem;
use super::raw::{RawKey, RawKeysFile};
use super::source_file::SourceFile;
use crate::config::{ConfigError, read_file};
use crate::identity::{self, ApiKeys, KeyEntry};
use crate::spend::BudgetTree;

/// Reads the keys file. Every key must belong to a node of the tree. A node may have several valid
/// keys, so that a key can be rotated while the old and the new key are both accepted.
pub(super) fn read_keys(path: &Path, tree: &BudgetTree) -> Result<ApiKeys, ConfigError> {
    let text = read_file(path)?;
    let file = SourceFile { path, text: &text };
    let raw: RawKeysFile = file.parse()?;
    let nodes: HashSet<&str> = tree.nodes.iter().map(|node| node.path.as_str()).collect();
    let mut keys = ApiKeys::default();
    for key in &raw.keys {
        add_key(&mut keys, key.get_ref(), &nodes)
            .map_err(|problem| file.error(key.span(), problem))?;
    }
    Ok(keys)
}

fn add_key(keys: &mut ApiKeys, key: &RawKey, nodes: &HashSet<&str>) -> Result<(), Problem> {
    if !identity::is_valid_key_id(&key.id) {
        return Err(Problem::InvalidKeyId(key.id.clone()));
    }
    if !nodes.contains(key.node.as_str()) {
        return Err(Problem::UnknownNode {
            id: key.id.clone(),
            node: key.node.clone(),
        });
    }
    let Some(hash) = identity::parse_hash(&key.hash) else {
        return Err(Problem::InvalidKeyHash(key.id.clone()));
    };
    if key.revoked {
        return Ok(());
    }
    let node = key.node.clone();
    if !keys.insert(key.id.clone(), KeyEntry { node, hash }) {
        return Err(Problem::DuplicateKey(key.id.clone()));
    }
    Ok(())
}
