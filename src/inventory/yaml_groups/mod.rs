//! Reads an inventory in YAML groups, the format of Ansible's YAML inventories.
//!
//! A group has `hosts`, `vars` and `children`. A host's own variables override those of its groups.
//! The variables of a deeper group override those of a shallower one. If two groups are equally
//! deep, the one whose name sorts later takes precedence. A host name can contain one range, as in
//! `card-[01:12]`.

mod document;
mod group_tree;
mod host_range;

use saphyr::{LoadableYamlNode, MarkedYaml, ScanError};

use super::InventoryError;
use super::error::LineError;
use super::host::Host;
use super::host_list::HostList;
use crate::core::Endpoint;
use group_tree::GroupTree;

/// Reads an inventory in YAML. `localities` are the configured zone names, in the order of their
/// numbers.
pub fn parse(text: &str, localities: &[String]) -> Result<Vec<Endpoint>, InventoryError> {
    let documents = MarkedYaml::load_from_str(text).map_err(invalid_yaml)?;
    let mut groups = GroupTree::default();
    for document in &documents {
        groups.add_document(document)?;
    }
    let mut hosts = HostList::default();
    for host in groups.resolved_hosts()? {
        let record = Host {
            name: host.name,
            line: host.line,
            variables: &host.variables,
        };
        hosts
            .add(record.to_endpoint(localities)?)
            .map_err(|error| error.at(host.line))?;
    }
    Ok(hosts.into_endpoints())
}

fn invalid_yaml(error: ScanError) -> InventoryError {
    let line = error.marker().line();
    LineError::Yaml(error).at(line)
}
