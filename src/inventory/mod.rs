//! Model servers from an inventory file, in place of discovery.
//!
//! Two formats are read, and both give the endpoints that discovery would list:
//!
//! - [`csv_table`]: CSV with a header;
//! - [`yaml_groups`]: YAML groups with inherited variables, as in Ansible's inventories.
//!
//! `host` builds an endpoint from the variables of a host, whichever format they come from;
//! [`watcher`] reloads the file when it changes and reports it to the core.

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

/// The most hosts that an inventory may list: a bound on memory, far above any fleet served.
pub const MAX_HOSTS: usize = 4096;
/// The largest inventory file, in bytes. Bounds what is read into memory.
pub const MAX_FILE_BYTES: u64 = 4 << 20;
/// The most models that one host may list.
pub const MAX_MODELS: usize = 256;

/// Reads an inventory file: CSV where its extension is `csv`, else YAML groups. `localities` are
/// the configured zone names, in the order of their numbers.
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
