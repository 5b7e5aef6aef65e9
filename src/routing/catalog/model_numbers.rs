//! The numbers that identify models in the decision module.

use rustc_hash::FxHashMap;

use crate::routing::MAX_MODEL_NUMBERS;

/// The number of each model name in the decision module. A name keeps its number over reloads, so
/// that requests in flight refer to the same model before and after a reload.
#[derive(Clone, Debug, Default)]
pub struct ModelNumbers(FxHashMap<String, u32>);

impl ModelNumbers {
    /// Returns the number of a name and assigns one if the name has none; `None` if there are
    /// already [`MAX_MODEL_NUMBERS`] names.
    pub(super) fn assign(&mut self, name: &str) -> Option<u32> {
        if let Some(&number) = self.0.get(name) {
            return Some(number);
        }
        let next = self.0.len() as u32 + 1;
        if next > MAX_MODEL_NUMBERS {
            return None;
        }
        self.0.insert(name.to_string(), next);
        Some(next)
    }
}
