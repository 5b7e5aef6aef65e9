//! The numbers of models.

use rustc_hash::FxHashMap;

use crate::routing::MAX_MODEL_NUMBERS;

/// The numbers by which the decision module knows the models. A name keeps its number over reloads,
/// so that requests in flight mean the same model before and after one.
#[derive(Clone, Debug, Default)]
pub struct ModelNumbers(FxHashMap<String, u32>);

impl ModelNumbers {
    /// The number of a name, a new one where it has none; none beyond [`MAX_MODEL_NUMBERS`] names.
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
