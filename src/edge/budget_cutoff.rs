//! The end of an answer whose budget was exhausted during the stream.

use bytes::BytesMut;
use serde_json::{Value, json};

use super::rejection::seconds_rounded_up;
use super::usage_meter::TokenUsage;
use crate::spend::BudgetExceeded;

/// The budget that ended an answer, as reported to the client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BudgetCutoff {
    /// The path of the node.
    node: String,
    /// The name of the node's budget.
    budget: String,
    /// Seconds until the budget has capacity again; `None` if it never has.
    retry_after_seconds: Option<u64>,
}

impl BudgetCutoff {
    pub(super) fn new(exceeded: &BudgetExceeded) -> BudgetCutoff {
        BudgetCutoff {
            node: exceeded.node.clone(),
            budget: exceeded.budget.clone(),
            retry_after_seconds: exceeded.retry_after.map(seconds_rounded_up),
        }
    }

    /// The JSON object that explains the end, sent as the member `stilespan` of the answer.
    pub fn to_json(&self) -> Value {
        json!({"code": "budget_exhausted", "node": self.node, "budget": self.budget,
            "retry_in_s": self.retry_after_seconds})
    }

    /// Writes the events that end a stream: the finish reason, the usage if the client requested
    /// it, and `[DONE]`.
    pub(super) fn write_events(
        &self,
        output: &mut BytesMut,
        trace: &str,
        model: &str,
        used: TokenUsage,
        include_usage: bool,
    ) {
        let total_tokens = used.prompt_tokens + used.output_tokens;
        let usage = json!({"prompt_tokens": used.prompt_tokens,
            "completion_tokens": used.output_tokens, "total_tokens": total_tokens});
        let mut write_event = |choices: Value| {
            let event = json!({"id": format!("chatcmpl-{trace}"), "object": "chat.completion.chunk",
                "model": model, "choices": choices, "usage": usage, "stilespan": self.to_json()});
            output.extend_from_slice(format!("data: {event}\n\n").as_bytes());
        };
        write_event(json!([{"index": 0, "delta": {}, "finish_reason": "length"}]));
        if include_usage {
            write_event(json!([]));
        }
        output.extend_from_slice(b"data: [DONE]\n\n");
    }
}
