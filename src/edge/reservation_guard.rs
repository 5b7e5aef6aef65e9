//! The reservation of one request in the ledger.

use std::sync::Arc;

use tracing::debug;

use super::Edge;
use super::usage_meter::TokenUsage;
use crate::spend::{BudgetExceeded, MicroTokens, NodeId, Price, ReservationId};

/// RAII guard that releases a request's reservation however the request ends. If the guard is
/// dropped without [`ReservationGuard::settle`], it charges the tokens forwarded so far.
pub(super) struct ReservationGuard {
    edge: Arc<Edge>,
    /// The node that is charged; `None` if requests are not authenticated.
    node: Option<NodeId>,
    /// `None` before the first reservation and after it is settled.
    reservation: Option<ReservationId>,
    /// The price of the model that the reservation is made for.
    price: Price,
    /// The estimated number of prompt tokens.
    prompt_tokens: u64,
    /// The number of reserved output tokens.
    reserved_output_tokens: u64,
    /// The tokens used so far; `None` until an answer has begun.
    used: Option<TokenUsage>,
}

impl ReservationGuard {
    /// Creates a guard without a reservation.
    pub(super) fn new(
        edge: Arc<Edge>,
        node: Option<NodeId>,
        prompt_tokens: u64,
    ) -> ReservationGuard {
        ReservationGuard {
            edge,
            node,
            reservation: None,
            price: Price::default(),
            prompt_tokens,
            reserved_output_tokens: 0,
            used: None,
        }
    }

    /// The estimated number of prompt tokens.
    pub(super) fn prompt_tokens(&self) -> u64 {
        self.prompt_tokens
    }

    /// The tokens used so far; zero until an answer has begun.
    pub(super) fn used(&self) -> TokenUsage {
        self.used.unwrap_or_default()
    }

    /// Reserves the cost of a submission, replacing the reservation of an earlier submission.
    pub(super) fn reserve(
        &mut self,
        price: Price,
        output_tokens: u64,
    ) -> Result<(), BudgetExceeded> {
        self.price = price;
        self.reserved_output_tokens = output_tokens;
        let Some(node) = self.node else { return Ok(()) };
        let amount = price.cost(self.prompt_tokens, output_tokens);
        let now = self.edge.clock_reading();
        let ledger = &mut self.edge.state().ledger;
        match self.reservation {
            Some(reservation) => ledger.resize(reservation, amount, now),
            None => {
                self.reservation = Some(ledger.reserve(node, amount, now)?);
                Ok(())
            }
        }
    }

    /// Extends the reservation to at least `output_tokens`. Adds a whole slice if the budgets have
    /// capacity for it, otherwise only the missing tokens.
    pub(super) fn extend_to(
        &mut self,
        output_tokens: u64,
        slice: u64,
    ) -> Result<(), BudgetExceeded> {
        let missing = output_tokens.saturating_sub(self.reserved_output_tokens);
        let Some(reservation) = self.reservation.filter(|_| missing > 0) else {
            return Ok(());
        };
        let now = self.edge.clock_reading();
        let ledger = &mut self.edge.state().ledger;
        let mut extend_by = |tokens: u64| {
            let amount = self.price.cost(0, tokens);
            ledger.extend(reservation, amount, now).map(|()| tokens)
        };
        let added = extend_by(missing.max(slice)).or_else(|_| extend_by(missing))?;
        self.reserved_output_tokens += added;
        Ok(())
    }

    /// Records the number of output tokens forwarded so far.
    pub(super) fn record_forwarded(&mut self, output_tokens: u64) {
        self.used = Some(TokenUsage {
            prompt_tokens: self.prompt_tokens,
            output_tokens,
        });
    }

    /// Releases the reservation and charges the used tokens. Further calls have no effect.
    pub(super) fn settle(&mut self, used: TokenUsage) {
        let Some(reservation) = self.reservation.take() else {
            return;
        };
        let cost = self.price.cost(used.prompt_tokens, used.output_tokens);
        let now = self.edge.clock_reading();
        let charge = self.edge.state().ledger.settle(reservation, cost, now);
        if charge.uncharged > MicroTokens::ZERO {
            debug!(
                "{} of {} micro-tokens exceed the budget and are not charged",
                charge.uncharged, charge.used
            );
        }
    }
}

impl Drop for ReservationGuard {
    fn drop(&mut self) {
        self.settle(self.used());
    }
}
