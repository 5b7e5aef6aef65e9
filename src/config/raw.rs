//! The JSON form of the configuration file.

use serde::Deserialize;
use serde_json::Value;

use crate::net::discovery::endpoint_list::EndpointList;

/// The memory that the process may use if the file contains no limit, in MiB.
const DEFAULT_MEMORY_MIB: usize = 192;
/// The maximum number of file descriptors that the process may open if the file contains no limit.
/// It is the usual soft limit on Linux.
const DEFAULT_DESCRIPTORS: usize = 1024;

/// The platform's JSON configuration file.
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

/// The resource limits of the process.
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

/// The settings' JSON, from which the router reads the values that it uses itself. The complete
/// settings are parsed for the decision module.
pub(super) struct RouterSettings<'a>(pub(super) &'a Value);

impl RouterSettings<'_> {
    /// Returns the number at a JSON pointer.
    pub(super) fn number(&self, pointer: &str) -> Option<f64> {
        self.0.pointer(pointer).and_then(Value::as_f64)
    }

    /// Returns the strings in the list at a JSON pointer. An element that is not a string becomes
    /// an empty name, so that the other names keep their indexes.
    pub(super) fn names(&self, pointer: &str) -> Vec<String> {
        self.list(pointer).map(name_of).collect()
    }

    /// Returns the `name` of each object in the list at a JSON pointer, or an empty name.
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
