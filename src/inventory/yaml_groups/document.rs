//! Reads mappings, scalars and variables from YAML nodes.

use saphyr::{MarkedYaml, Scalar, YamlData};

use crate::inventory::InventoryError;
use crate::inventory::error::LineError;
use crate::inventory::variables::{Variable, Variables};

/// The only variable whose value can be a sequence.
const MODELS: &str = "models";

/// An entry of a mapping.
pub(super) struct MappingEntry<'a, 'input> {
    /// The key.
    pub(super) key: String,
    /// The value.
    pub(super) value: &'a MarkedYaml<'input>,
    /// The key's line, from 1.
    pub(super) line: usize,
}

/// The entries of a mapping, in document order. An empty node has no entries. `subject` names the
/// node in errors.
pub(super) fn mapping_entries<'a, 'input>(
    node: &'a MarkedYaml<'input>,
    subject: &str,
) -> Result<Vec<MappingEntry<'a, 'input>>, InventoryError> {
    let mapping = match &node.data {
        YamlData::Mapping(mapping) => mapping,
        YamlData::Value(Scalar::Null) => return Ok(Vec::new()),
        _ => {
            let line = node.span.start.line();
            return Err(LineError::NotMapping(subject.to_string()).at(line));
        }
    };
    let mut entries = Vec::with_capacity(mapping.len());
    for (key, value) in mapping {
        let line = key.span.start.line();
        let Some(key) = scalar_text(key) else {
            return Err(LineError::KeyNotScalar(subject.to_string()).at(line));
        };
        entries.push(MappingEntry { key, value, line });
    }
    Ok(entries)
}

/// The variables of a mapping. Values other than scalars and the list of models are ignored, since
/// they are meant for other tools.
pub(super) fn variables(node: &MarkedYaml<'_>) -> Result<Variables, InventoryError> {
    let mut variables = Vec::new();
    for MappingEntry { key, value, line } in mapping_entries(node, "variables")? {
        let text = if key == MODELS {
            scalar_text(value).or_else(|| joined_scalars(value))
        } else {
            scalar_text(value)
        };
        if let Some(text) = text {
            variables.push((key, Variable { text, line }));
        }
    }
    Ok(variables.into_iter().collect())
}

/// A scalar as text; empty for null. `None` if the node is not a scalar.
fn scalar_text(node: &MarkedYaml<'_>) -> Option<String> {
    let YamlData::Value(scalar) = &node.data else {
        return None;
    };
    Some(match scalar {
        Scalar::String(text) => text.to_string(),
        Scalar::Integer(number) => number.to_string(),
        Scalar::FloatingPoint(number) => number.to_string(),
        Scalar::Boolean(value) => value.to_string(),
        Scalar::Null => String::new(),
    })
}

/// The scalars of a sequence, joined with spaces. `None` if the node is not a sequence or one of
/// its items is not a scalar.
fn joined_scalars(node: &MarkedYaml<'_>) -> Option<String> {
    let YamlData::Sequence(items) = &node.data else {
        return None;
    };
    let texts: Option<Vec<String>> = items.iter().map(scalar_text).collect();
    texts.map(|texts| texts.join(" "))
}
