//! Token prices of a model, and the cost of a request.

use super::MicroTokens;

/// The price of a model's tokens, by direction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Price {
    /// The price of one token of the prompt.
    pub per_prompt_token: MicroTokens,
    /// The price of one token of the answer.
    pub per_output_token: MicroTokens,
}

/// A price of 1 in both directions: each token costs one token of the budget.
impl Default for Price {
    fn default() -> Price {
        Price {
            per_prompt_token: MicroTokens::from_tokens(1),
            per_output_token: MicroTokens::from_tokens(1),
        }
    }
}

impl Price {
    /// The cost of a request with these token counts. Saturates, which realistic counts never
    /// reach.
    pub fn cost(&self, prompt_tokens: u64, output_tokens: u64) -> MicroTokens {
        let prompt = self.per_prompt_token.saturating_mul(prompt_tokens);
        let output = self.per_output_token.saturating_mul(output_tokens);
        prompt.saturating_add(output)
    }
}
