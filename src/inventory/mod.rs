//! Model servers listed in an inventory file, as an alternative to the discovery service.
//!
//! Two formats are supported, and both yield the endpoints that the discovery service would list:
//!
//! - [`csv_table`]: CSV with a header;
//! - [`yaml_groups`]: YAML groups with inherited variables, as in Ansible's inventories.
//!
//! For both formats, `host` builds an endpoint from the variables of a host. [`watcher`] reloads
//! the file when it changes and sends the new list to the core.

pub mod csv_table;
mod error;
mod host;
mod host_list;
mod variables;
pub mod watcher;
pub mod yaml_groups;

use std::path::Path;

use crate::core::Endpoint;

pub use error::{InventoryError, LineError};

/// The maximum number of hosts in an inventory. It bounds the memory use, and is far above the size
/// of any supported fleet.
pub const MAX_HOSTS: usize = 4096;
/// The maximum size of an inventory file, in bytes. It bounds the memory that a read uses.
pub const MAX_FILE_BYTES: u64 = 4 << 20;
/// The maximum number of models of one host.
pub const MAX_MODELS: usize = 256;

/// Reads an inventory file: as CSV if its extension is `csv`, otherwise as YAML groups.
/// `localities` are the configured zone names, in the order of their numbers.
pub fn load(path: &Path, localities: &[String]) -> Result<Vec<Endpoint>, InventoryError> {
    if std::fs::metadata(path)?.len() > MAX_FILE_BYTES {
        return Err(InventoryError::TooLarge);
    }
    let text = std::fs::read_to_string(path)?;
    if is_csv(path) {
        csv_table::parse(&text, localities)
    } else {
        yaml_groups::parse(&text, localities)
    }
}

fn is_csv(path: &Path) -> bool {
    path.extension()
        .is_some_and(|extension| extension.eq_ignore_ascii_case("csv"))
}

#[cfg(test)]
mod tests;
