//! A JSON object whose values are kept as text. Parsed values take many times the memory of their
//! text if they are short.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde_json::Value;
use serde_json::value::{RawValue, to_raw_value};

/// A JSON object of unparsed values.
#[derive(Clone, Debug, Deserialize)]
#[serde(transparent)]
pub(crate) struct RawObject(BTreeMap<String, Box<RawValue>>);

impl RawObject {
    /// Parses the value of a key; `None` if the object does not have the key.
    pub(crate) fn get(&self, key: &str) -> Option<Value> {
        // the text was validated as JSON when the object was parsed
        serde_json::from_str(self.0.get(key)?.get()).ok()
    }

    /// Sets the value of a key.
    pub(crate) fn insert(&mut self, key: &str, value: &Value) {
        // a `Value` can always be serialized
        if let Ok(raw) = to_raw_value(value) {
            self.0.insert(key.to_string(), raw);
        }
    }

    /// Removes a key.
    pub(crate) fn remove(&mut self, key: &str) {
        self.0.remove(key);
    }

    /// The text of the object.
    pub(crate) fn to_bytes(&self) -> Vec<u8> {
        // a map with text as its keys can always be serialized
        serde_json::to_vec(&self.0).unwrap_or_default()
    }
}
