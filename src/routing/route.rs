//! One RPC's way along its model's chain.

use std::sync::Arc;

use super::{Catalog, FirstTokenEstimates, ModelInventory};
use crate::interface::{Span, Timestamp};

/// What is asked for.
#[derive(Clone, Debug)]
pub struct ChatQuery {
    /// The model, by its place in the catalog.
    pub model: usize,
    /// Prompt tokens.
    pub prompt_tokens: u32,
    /// The most tokens of an answer, where the client tells.
    pub max_output_tokens: Option<u32>,
    /// When its client stops waiting for a first token.
    pub expires_at: Timestamp,
    /// Call attempts that it may have over all models.
    pub max_attempts: u32,
    /// A repeat is harmless even where an attempt may have run.
    pub idempotent: bool,
}

/// Why an RPC has no route at all.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteError {
    /// The asker may not use the model.
    ModelForbidden,
    /// The model's window doesn't hold the prompt.
    PromptTooLong {
        /// Tokens that the window holds.
        context_window: u32,
    },
}

/// A submission to the decision module.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Submission {
    /// The model, by its place in the catalog.
    pub model: usize,
    /// The most tokens of its answer.
    pub max_output_tokens: u32,
    /// Call attempts that it can't have: earlier legs had them, or they are kept back for a later
    /// one.
    pub unavailable_attempts: u32,
    /// When it ends unless a first token has come.
    pub deadline: Timestamp,
}

/// How a leg ended without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SubmissionEnd {
    /// Call attempts that it had.
    pub attempts: u32,
    /// Some attempt reached a server, and may have run.
    pub forwarded: bool,
    /// It was declined, and told to come back then.
    pub retry_after: Option<Span>,
    /// It was declined rather than failed.
    pub rejected: bool,
}

/// Why there is no further leg.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RouteExhausted {
    /// A repeat is harmless.
    pub rejected: bool,
    /// Call attempts over all legs.
    pub attempts: u32,
    /// When to come back, where some leg told: the soonest, as any model of the chain will do.
    pub retry_after: Option<Span>,
    /// No model of the chain had a host.
    pub no_host: bool,
}

/// What comes next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteStep {
    /// This leg.
    Submit(Submission),
    /// Nothing.
    Exhausted(RouteExhausted),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Tried {
    No,
    /// Passed over: for want of a host, or of time.
    Passed,
    Yes,
}

/// An RPC on its way. It keeps the catalog that it began with.
#[derive(Clone, Debug)]
pub struct Route {
    catalog: Arc<Catalog>,
    query: ChatQuery,
    /// The models that may be tried, in order.
    chain: Vec<(usize, u32, Tried)>,
    attempts: u32,
    may_have_run: bool,
    failed: bool,
    retry_after: Option<Span>,
    out: Option<(usize, Timestamp)>,
}

impl Route {
    /// A route along a model's chain, of those that the asker may use and whose window holds the
    /// prompt.
    pub fn new(
        catalog: Arc<Catalog>,
        query: ChatQuery,
        allowed: impl Fn(usize) -> bool,
    ) -> Result<Route, RouteError> {
        let preferred = catalog.model(query.model);
        if !allowed(query.model) {
            return Err(RouteError::ModelForbidden);
        }
        if preferred.max_output_for(query.prompt_tokens).is_none() {
            return Err(RouteError::PromptTooLong {
                context_window: preferred.context_window,
            });
        }
        let chain = preferred
            .fallback_chain
            .iter()
            .filter(|&&at| allowed(at))
            .filter_map(|&at| {
                let room = catalog.model(at).max_output_for(query.prompt_tokens)?;
                Some((
                    at,
                    room.min(query.max_output_tokens.unwrap_or(u32::MAX)),
                    Tried::No,
                ))
            });
        let chain = chain.collect();
        Ok(Route {
            catalog,
            query,
            chain,
            attempts: 0,
            may_have_run: false,
            failed: false,
            retry_after: None,
            out: None,
        })
    }

    /// The catalog that it goes by.
    pub fn catalog(&self) -> &Arc<Catalog> {
        &self.catalog
    }

    /// The first leg, or the next once [`Route::submission_ended`] was told of the one before.
    pub fn next_step(
        &mut self,
        inventory: &ModelInventory,
        estimates: &FirstTokenEstimates,
        now: Timestamp,
    ) -> RouteStep {
        assert!(self.out.is_none(), "a leg is out: two would run at once");
        let spent_up = self.attempts >= self.query.max_attempts;
        let unsafe_again = self.may_have_run && !self.query.idempotent;
        if spent_up || unsafe_again || now >= self.query.expires_at {
            return self.give_up(false);
        }
        let left = self.query.expires_at - now;
        let number = |at: usize| self.catalog.model(at).number;
        let has_host = |at: usize| inventory.host_count(number(at)) > 0;
        // a model passed over comes into question again: its hosts may be back
        let open: Vec<usize> = (0..self.chain.len())
            .filter(|&k| self.chain[k].2 != Tried::Yes && has_host(self.chain[k].0))
            .collect();
        let need =
            |k: usize| estimates.estimate(number(self.chain[k].0), self.query.prompt_tokens, now);
        let Some(&first) = open.first() else {
            return self.give_up(self.chain.iter().all(|c| c.2 != Tried::Yes));
        };
        // the first that is ready in the time left; where none is, the preferred: the module may
        // know better
        let at = open
            .iter()
            .copied()
            .find(|&k| need(k) <= left)
            .unwrap_or(first);
        // time is kept back for the next only where both fit
        let after = open.iter().copied().filter(|&k| k > at).map(need).min();
        let kept = after
            .filter(|&n| n.as_micros().saturating_add(need(at).as_micros()) <= left.as_micros())
            .unwrap_or_default();
        // an attempt is kept back for it too: guards against servers that fail fast and use all of
        // them up
        let others = open.iter().any(|&k| k > at);
        let last = u32::from(others && self.query.max_attempts - self.attempts > 1);
        for k in 0..at {
            if self.chain[k].2 == Tried::No {
                self.chain[k].2 = Tried::Passed;
            }
        }
        let (model, cap, tried) = &mut self.chain[at];
        *tried = Tried::Yes;
        self.out = Some((*model, now));
        let deadline = Timestamp::from_micros(self.query.expires_at.as_micros() - kept.as_micros());
        RouteStep::Submit(Submission {
            model: *model,
            max_output_tokens: *cap,
            unavailable_attempts: self.attempts + last,
            deadline,
        })
    }

    /// The leg that was out has ended without an answer. What that tells of the model's need is
    /// learnt.
    pub fn submission_ended(
        &mut self,
        end: SubmissionEnd,
        estimates: &mut FirstTokenEstimates,
        now: Timestamp,
    ) {
        let Some((model, since)) = self.out.take() else {
            return;
        };
        if end.forwarded {
            estimates.record_unanswered(
                self.catalog.model(model).number,
                self.query.prompt_tokens,
                now - since,
                now,
            );
        }
        self.attempts = self.attempts.saturating_add(end.attempts);
        self.may_have_run |= end.forwarded;
        self.failed |= !end.rejected;
        self.retry_after = match (self.retry_after, end.retry_after) {
            (Some(a), Some(b)) => Some(a.min(b)),
            (a, b) => a.or(b),
        };
    }

    /// The leg that was out has begun to answer: the route is over, and its time is learnt.
    pub fn answer_started(&mut self, estimates: &mut FirstTokenEstimates, now: Timestamp) {
        if let Some((model, since)) = self.out.take() {
            estimates.record(
                self.catalog.model(model).number,
                self.query.prompt_tokens,
                now - since,
                now,
            );
        }
        // nothing may follow an answer that has begun
        self.attempts = u32::MAX;
    }

    /// Passes a model over whose leg was not submitted after all (its price goes beyond a budget,
    /// say).
    pub fn skip_submission(&mut self) {
        self.out = None;
    }

    fn give_up(&self, no_host: bool) -> RouteStep {
        RouteStep::Exhausted(RouteExhausted {
            rejected: !self.failed,
            attempts: self.attempts,
            retry_after: self.retry_after,
            no_host,
        })
    }
}
