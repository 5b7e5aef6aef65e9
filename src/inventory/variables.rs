//! Variables of hosts and groups. Each one keeps its line for error messages.

use std::collections::BTreeMap;

/// The value of a variable.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Variable {
    /// The value as text; empty if the variable has no value.
    pub(super) text: String,
    /// The line that sets it, from 1.
    pub(super) line: usize,
}

/// Variables by name.
#[derive(Clone, Debug, Default)]
pub(super) struct Variables(BTreeMap<String, Variable>);

impl Variables {
    /// The variable under the first of these names that is set. If this variable has no value, the
    /// result is `None` and the remaining names are not considered.
    pub(super) fn get(&self, names: &[&str]) -> Option<&Variable> {
        names
            .iter()
            .find_map(|name| self.0.get(*name))
            .filter(|variable| !variable.text.is_empty())
    }

    /// Adds variables. They override existing variables with the same names.
    pub(super) fn override_with(&mut self, others: &Variables) {
        self.0.extend(others.0.clone());
    }
}

impl FromIterator<(String, Variable)> for Variables {
    fn from_iter<I: IntoIterator<Item = (String, Variable)>>(variables: I) -> Variables {
        Variables(variables.into_iter().collect())
    }
}
