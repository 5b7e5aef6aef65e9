//! The API's listings of models and budgets, as JSON objects.

use std::time::Duration;

use serde_json::{Value, json};

use super::rejection::model_not_found;
use super::state::EdgeState;
use super::{Caller, Edge};
use crate::api::ApiError;
use crate::interface::Timestamp;
use crate::spend::{MicroTokens, NamedStatus, NodeUsage};

/// The refill time of a budget that never refills.
const NEVER: Timestamp = Timestamp::from_micros(u64::MAX);

impl Edge {
    /// The models that a caller may use, in the public OpenAI format.
    pub fn models(&self, caller: &Caller) -> Value {
        let state = self.state();
        let all = 0..state.config.catalog.models().len();
        let data: Vec<Value> = all
            .filter(|&model| state.may_use(caller, model))
            .map(|model| model_object(&state, model))
            .collect();
        json!({"object": "list", "data": data})
    }

    /// The model with this name or alias, if the caller may use it.
    pub fn model(&self, caller: &Caller, name: &str) -> Result<Value, ApiError> {
        let state = self.state();
        match state.find_usable_model(caller, name) {
            Some(model) => Ok(model_object(&state, model)),
            None => Err(model_not_found(name)),
        }
    }

    /// The budgets of a caller's own node and of the nodes below it: their limits, used and
    /// reserved tokens, and refill times.
    pub fn budgets(&self, caller: &Caller) -> Value {
        let now = self.clock_reading();
        let ledger = &mut self.state().ledger;
        let node = caller.node().and_then(|path| ledger.find_node(path));
        let usages = match node {
            Some(node) => ledger.subtree_usage(node, now),
            None => Vec::new(),
        };
        let data: Vec<Value> = usages.iter().map(node_object).collect();
        json!({"object": "list", "data": data})
    }
}

fn model_object(state: &EdgeState, index: usize) -> Value {
    let catalog = &state.config.catalog;
    let model = catalog.model(index);
    let name = |index: &usize| catalog.model(*index).name.clone();
    let fallbacks: Vec<String> = model.fallback_chain[1..].iter().map(name).collect();
    json!({"id": model.name, "object": "model", "created": 0, "owned_by": "stilespan",
        "context_window": model.context_window, "max_output_tokens": model.max_output_tokens,
        "base": model.base.as_ref().map(name), "aliases": catalog.aliases(index),
        "fallbacks": fallbacks, "hosts": state.inventory.host_count(model.number)})
}

fn node_object(usage: &NodeUsage) -> Value {
    let budgets: Vec<Value> = usage
        .budgets
        .iter()
        .map(|budget| budget_object(budget, usage.reserved))
        .collect();
    json!({"object": "budget", "node": usage.path, "uncharged": usage.uncharged.tokens_rounded_up(),
        "budgets": budgets})
}

fn budget_object(budget: &NamedStatus, reserved: MicroTokens) -> Value {
    let status = &budget.status;
    let refills_at = status.refills_at;
    let unix_seconds = || Duration::from_micros(refills_at.as_micros()).as_secs();
    let refills_at = (refills_at < NEVER).then(unix_seconds);
    json!({"name": budget.name, "limit": status.limit.tokens_rounded_down(),
        "used": status.used.tokens_rounded_up(), "reserved": reserved.tokens_rounded_up(),
        "refills_at": refills_at})
}
