//! The groups of an inventory, their hosts, and which variables each host inherits.

use std::collections::{BTreeMap, BTreeSet};

use saphyr::MarkedYaml;

use super::document::{MappingEntry, mapping_entries, variables};
use super::host_range::host_names;
use crate::inventory::InventoryError;
use crate::inventory::error::LineError;
use crate::inventory::variables::Variables;

/// The group that contains every host and is the parent of every group.
const ROOT_GROUP: &str = "all";
/// How deep groups may be nested in a document. Bounds the recursion.
const MAX_NESTING: usize = 32;
/// The line of an error that concerns several lines.
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

/// A host with its own variables and the line that lists it first.
struct ListedHost {
    variables: Variables,
    line: usize,
}

/// A host with its own and its inherited variables.
pub(super) struct ResolvedHost<'a> {
    /// The host's name.
    pub(super) name: &'a str,
    /// The line that lists it first, from 1.
    pub(super) line: usize,
    /// The host's variables, where the own ones override the inherited ones.
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

    /// The hosts in the order of their names.
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

    /// Adds a group and its descendants. `depth` counts the groups around it in the document.
    fn add_group(
        &mut self,
        group: &MappingEntry<'_, '_>,
        depth: usize,
    ) -> Result<(), InventoryError> {
        if depth > MAX_NESTING {
            return Err(LineError::NestedTooDeeply(MAX_NESTING).at(group.line));
        }
        let name = &group.key;
        self.group_mut(name);
        for MappingEntry { key, value, line } in mapping_entries(group.value, name)? {
            match key.as_str() {
                "vars" => {
                    let variables = variables(value)?;
                    self.group_mut(name).variables.override_with(&variables);
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
                self.group_mut(group).hosts.insert(name);
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
            self.group_mut(group).children.insert(child.key.clone());
            self.add_group(&child, depth + 1)?;
        }
        Ok(())
    }

    fn group_mut(&mut self, name: &str) -> &mut Group {
        self.groups.entry(name.to_string()).or_default()
    }

    /// The groups' names in the order in which their variables override each other: the shallowest
    /// first, and equally deep ones by name.
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

    /// How deep a group is: one level below its deepest parent. `known` keeps the depths found so
    /// far, `path` the descendants whose depth is being computed, which a cycle leads back to.
    fn depth<'a>(
        &'a self,
        name: &'a str,
        known: &mut BTreeMap<&'a str, usize>,
        path: &mut Vec<&'a str>,
    ) -> Result<usize, InventoryError> {
        if let Some(&depth) = known.get(name) {
            return Ok(depth);
        }
        if path.contains(&name) {
            return Err(LineError::GroupCycle(name.to_string()).at(FIRST_LINE));
        }
        path.push(name);
        let mut depth = usize::from(name != ROOT_GROUP);
        for (parent, group) in &self.groups {
            if group.children.contains(name) {
                depth = depth.max(self.depth(parent, known, path)? + 1);
            }
        }
        path.pop();
        known.insert(name, depth);
        Ok(depth)
    }

    /// Whether a host is in a group or in one of its descendants.
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
