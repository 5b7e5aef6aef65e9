//! The groups and hosts of an inventory, and the variables that each host inherits.

use std::collections::{BTreeMap, BTreeSet};

use saphyr::MarkedYaml;

use super::document::{MappingEntry, mapping_entries, variables};
use super::host_range::host_names;
use crate::inventory::InventoryError;
use crate::inventory::error::LineError;
use crate::inventory::variables::Variables;

/// The group that contains every host and is the ancestor of every group.
const ROOT_GROUP: &str = "all";
/// The maximum nesting depth of groups in a document. It bounds the recursion.
const MAX_NESTING: usize = 32;
/// The line that is reported for an error that concerns several lines.
const FIRST_LINE: usize = 1;

/// All groups and hosts, by name.
#[derive(Default)]
pub(super) struct GroupTree {
    groups: BTreeMap<String, Group>,
    hosts: BTreeMap<String, ListedHost>,
}

#[derive(Default)]
struct Group {
    variables: Variables,
    children: BTreeSet<String>,
    hosts: BTreeSet<String>,
}

/// A host with its own variables and the first line that lists it.
struct ListedHost {
    variables: Variables,
    line: usize,
}

/// A host with its own and its inherited variables.
pub(super) struct ResolvedHost<'a> {
    /// The host's name.
    pub(super) name: &'a str,
    /// The first line that lists the host, from 1.
    pub(super) line: usize,
    /// The host's own and inherited variables; its own override the inherited ones.
    pub(super) variables: Variables,
}

impl GroupTree {
    /// Adds the groups of a YAML document.
    pub(super) fn add_document(&mut self, document: &MarkedYaml<'_>) -> Result<(), InventoryError> {
        for group in mapping_entries(document, "groups")? {
            self.add_group(&group, 0)?;
        }
        Ok(())
    }

    /// The hosts, sorted by name.
    pub(super) fn resolved_hosts(&self) -> Result<Vec<ResolvedHost<'_>>, InventoryError> {
        let order = self.groups_by_depth()?;
        let resolve = |(name, host)| self.resolve(name, host, &order);
        Ok(self.hosts.iter().map(resolve).collect())
    }

    fn resolve<'a>(&self, name: &'a String, host: &ListedHost, order: &[&str]) -> ResolvedHost<'a> {
        let mut variables = Variables::default();
        for group in order {
            if self.contains(group, name) {
                variables.override_with(&self.groups[*group].variables);
            }
        }
        variables.override_with(&host.variables);
        ResolvedHost {
            name,
            line: host.line,
            variables,
        }
    }

    /// Adds a group and its descendants. `depth` is the number of groups that enclose it in the
    /// document.
    fn add_group(
        &mut self,
        group: &MappingEntry<'_, '_>,
        depth: usize,
    ) -> Result<(), InventoryError> {
        if depth > MAX_NESTING {
            return Err(LineError::NestedTooDeeply(MAX_NESTING).at(group.line));
        }
        let name = &group.key;
        self.get_or_insert_group(name);
        for MappingEntry { key, value, line } in mapping_entries(group.value, name)? {
            match key.as_str() {
                "vars" => {
                    let variables = variables(value)?;
                    self.get_or_insert_group(name)
                        .variables
                        .override_with(&variables);
                }
                "hosts" => self.add_hosts(name, value)?,
                "children" => self.add_children(name, value, depth)?,
                _ => {
                    let group = name.clone();
                    return Err(LineError::UnknownGroupKey { group, key }.at(line));
                }
            }
        }
        Ok(())
    }

    fn add_hosts(&mut self, group: &str, node: &MarkedYaml<'_>) -> Result<(), InventoryError> {
        for MappingEntry { key, value, line } in mapping_entries(node, "hosts")? {
            let own_variables = variables(value)?;
            for name in host_names(&key).map_err(|error| error.at(line))? {
                let host = self
                    .hosts
                    .entry(name.clone())
                    .or_insert_with(|| ListedHost {
                        variables: Variables::default(),
                        line,
                    });
                host.variables.override_with(&own_variables);
                self.get_or_insert_group(group).hosts.insert(name);
            }
        }
        Ok(())
    }

    fn add_children(
        &mut self,
        group: &str,
        node: &MarkedYaml<'_>,
        depth: usize,
    ) -> Result<(), InventoryError> {
        for child in mapping_entries(node, "children")? {
            self.get_or_insert_group(group)
                .children
                .insert(child.key.clone());
            self.add_group(&child, depth + 1)?;
        }
        Ok(())
    }

    fn get_or_insert_group(&mut self, name: &str) -> &mut Group {
        self.groups.entry(name.to_string()).or_default()
    }

    /// The names of the groups in the order in which their variables are applied: the shallowest
    /// group first, and equally deep groups by name.
    fn groups_by_depth(&self) -> Result<Vec<&str>, InventoryError> {
        let mut depths = BTreeMap::new();
        for name in self.groups.keys() {
            self.depth(name, &mut depths, &mut Vec::new())?;
        }
        let mut order: Vec<(usize, &str)> = depths
            .into_iter()
            .map(|(name, depth)| (depth, name))
            .collect();
        order.sort_unstable();
        Ok(order.into_iter().map(|(_, name)| name).collect())
    }

    /// The depth of a group, which is one level below its deepest parent. `known_depths` contains
    /// the depths computed so far. `path` contains the descendants whose depth is being computed: a
    /// group that is already in it is part of a cycle.
    fn depth<'a>(
        &'a self,
        name: &'a str,
        known_depths: &mut BTreeMap<&'a str, usize>,
        path: &mut Vec<&'a str>,
    ) -> Result<usize, InventoryError> {
        if let Some(&depth) = known_depths.get(name) {
            return Ok(depth);
        }
        if path.contains(&name) {
            return Err(LineError::GroupCycle(name.to_string()).at(FIRST_LINE));
        }
        path.push(name);
        let mut depth = usize::from(name != ROOT_GROUP);
        for (parent, group) in &self.groups {
            if group.children.contains(name) {
                depth = depth.max(self.depth(parent, known_depths, path)? + 1);
            }
        }
        path.pop();
        known_depths.insert(name, depth);
        Ok(depth)
    }

    /// Whether a host is in a group or one of its descendants.
    fn contains(&self, group: &str, host: &str) -> bool {
        if group == ROOT_GROUP {
            return true;
        }
        let Some(group) = self.groups.get(group) else {
            return false;
        };
        let is_in_child = |child: &String| self.contains(child, host);
        group.hosts.contains(host) || group.children.iter().any(is_in_child)
    }
}
