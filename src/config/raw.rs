//! The configuration file as it is written.

use serde::Deserialize;
use serde_json::Value;

use crate::net::discovery::endpoint_list::EndpointList;

/// Memory that the process may use where the file names no limit, in MiB.
const DEFAULT_MEMORY_MIB: usize = 192;
/// File descriptors that the process may open where the file names no limit: the soft limit that
/// Linux systems usually set.
const DEFAULT_DESCRIPTORS: usize = 1024;

/// The platform's JSON file.
#[derive(Deserialize)]
pub(super) struct RawConfig {
    #[serde(default)]
    pub(super) name: String,
    pub(super) listen: Option<String>,
    pub(super) admin: Option<String>,
    pub(super) discovery: Option<String>,
    #[serde(default)]
    pub(super) seed: String,
    #[serde(default)]
    pub(super) limits: RawLimits,
    pub(super) known: Option<EndpointList>,
    pub(super) settings: Value,
}

/// The limits of the process.
#[derive(Deserialize)]
#[serde(default)]
pub(super) struct RawLimits {
    pub(super) memory_mb: usize,
    pub(super) sockets: usize,
}

impl Default for RawLimits {
    fn default() -> RawLimits {
        RawLimits {
            memory_mb: DEFAULT_MEMORY_MIB,
            sockets: DEFAULT_DESCRIPTORS,
        }
    }
}

/// Values that the router itself reads from the settings, all of which the decision module parses.
pub(super) struct RouterSettings<'a>(pub(super) &'a Value);

impl RouterSettings<'_> {
    /// The number at a JSON pointer.
    pub(super) fn number(&self, pointer: &str) -> Option<f64> {
        self.0.pointer(pointer).and_then(Value::as_f64)
    }

    /// The strings in the list at a JSON pointer; anything else there counts as an empty name, so
    /// that the others keep their places.
    pub(super) fn names(&self, pointer: &str) -> Vec<String> {
        self.list(pointer).map(name_of).collect()
    }

    /// The same for a list of objects with a `name`.
    pub(super) fn object_names(&self, pointer: &str) -> Vec<String> {
        self.list(pointer)
            .map(|object| object.get("name").map(name_of).unwrap_or_default())
            .collect()
    }

    fn list(&self, pointer: &str) -> impl Iterator<Item = &Value> {
        let list = self.0.pointer(pointer).and_then(Value::as_array);
        list.into_iter().flatten()
    }
}

fn name_of(value: &Value) -> String {
    value.as_str().unwrap_or_default().into()
}
