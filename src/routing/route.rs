//! The way of one request along the fallback chain of its model.

mod query;
mod step;

use std::sync::Arc;

use super::{Catalog, FirstTokenEstimates, ModelInventory};
use crate::interface::{Span, Timestamp};

pub use query::{ChatQuery, RouteError};
pub use step::{RouteExhausted, RouteStep, Submission, SubmissionEnd};

/// A model of the route's chain.
#[derive(Clone, Copy, Debug)]
struct ChainModel {
    /// The index of the model in the catalog.
    model: usize,
    max_output_tokens: u32,
    /// Whether the model had its submission.
    is_tried: bool,
}

/// A model that the next submission can go to.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    /// The position of the model in the route's chain.
    position: usize,
    /// The time that the model is estimated to need for its first token.
    first_token_time: Span,
}

/// The submission that has not ended.
#[derive(Clone, Copy, Debug)]
struct PendingSubmission {
    /// The index of the model in the catalog.
    model: usize,
    submitted_at: Timestamp,
}

/// The route of one request. It keeps the catalog that it began with.
#[derive(Clone, Debug)]
pub struct Route {
    catalog: Arc<Catalog>,
    query: ChatQuery,
    /// The models that can be tried, in the order of preference.
    chain: Vec<ChainModel>,
    /// The call attempts of the submissions that have ended.
    attempts: u32,
    may_have_run: bool,
    has_failed: bool,
    retry_after: Option<Span>,
    pending: Option<PendingSubmission>,
}

impl Route {
    /// A route along the fallback chain of a model. Models that the caller may not use, by
    /// `is_allowed`, and models whose context window does not hold the prompt are left out.
    pub fn new(
        catalog: Arc<Catalog>,
        query: ChatQuery,
        is_allowed: impl Fn(usize) -> bool,
    ) -> Result<Route, RouteError> {
        let preferred = catalog.model(query.model);
        if !is_allowed(query.model) {
            return Err(RouteError::ModelForbidden);
        }
        if preferred.max_output_for(query.prompt_tokens).is_none() {
            return Err(RouteError::PromptTooLong {
                context_window: preferred.context_window,
            });
        }
        let mut chain = Vec::with_capacity(preferred.fallback_chain.len());
        for &model in preferred.fallback_chain.iter().filter(|&&m| is_allowed(m)) {
            let possible_output = catalog.model(model).max_output_for(query.prompt_tokens);
            if let Some(possible_output) = possible_output {
                let requested_output = query.max_output_tokens.unwrap_or(u32::MAX);
                chain.push(ChainModel {
                    model,
                    max_output_tokens: possible_output.min(requested_output),
                    is_tried: false,
                });
            }
        }
        Ok(Route {
            catalog,
            query,
            chain,
            attempts: 0,
            may_have_run: false,
            has_failed: false,
            retry_after: None,
            pending: None,
        })
    }

    /// The catalog that the route began with.
    pub fn catalog(&self) -> &Arc<Catalog> {
        &self.catalog
    }

    /// The first submission, or the next one. Must not be called while a submission is pending:
    /// [`Route::submission_ended`] or [`Route::skip_submission`] comes first.
    pub fn next_step(
        &mut self,
        inventory: &ModelInventory,
        estimates: &FirstTokenEstimates,
        now: Timestamp,
    ) -> RouteStep {
        assert!(self.pending.is_none(), "two submissions would run at once");
        let no_attempt_left = self.attempts >= self.query.max_attempts;
        let must_not_repeat = self.may_have_run && !self.query.idempotent;
        if no_attempt_left || must_not_repeat || now >= self.query.expires_at {
            return self.exhausted(false);
        }
        let candidates = self.candidates(inventory, estimates, now);
        if candidates.is_empty() {
            let none_tried = self.chain.iter().all(|entry| !entry.is_tried);
            return self.exhausted(none_tried);
        }
        let remaining = self.query.expires_at - now;
        // where no model is likely to answer in the remaining time, the preferred one is tried: the
        // decision module may know better
        let chosen = candidates
            .iter()
            .position(|candidate| candidate.first_token_time <= remaining)
            .unwrap_or(0);
        let later = &candidates[chosen + 1..];
        self.submit(candidates[chosen], later, now)
    }

    /// The models that have not been tried and have hosts. A model without hosts becomes a
    /// candidate again once its hosts are back.
    fn candidates(
        &self,
        inventory: &ModelInventory,
        estimates: &FirstTokenEstimates,
        now: Timestamp,
    ) -> Vec<Candidate> {
        let mut candidates = Vec::with_capacity(self.chain.len());
        for (position, entry) in self.chain.iter().enumerate() {
            let number = self.catalog.model(entry.model).number;
            if entry.is_tried || inventory.host_count(number) == 0 {
                continue;
            }
            let first_token_time = estimates.estimate(number, self.query.prompt_tokens, now);
            candidates.push(Candidate {
                position,
                first_token_time,
            });
        }
        candidates
    }

    /// The submission to a candidate. `later` are the candidates behind it in the chain.
    fn submit(&mut self, candidate: Candidate, later: &[Candidate], now: Timestamp) -> RouteStep {
        let remaining = self.query.expires_at - now;
        let withheld_time = withheld_time(candidate, later, remaining);
        // an attempt is withheld for the next model too: servers that fail fast would use them all
        let attempts_left = self.query.max_attempts - self.attempts;
        let withheld_attempts = u32::from(!later.is_empty() && attempts_left > 1);
        let entry = &mut self.chain[candidate.position];
        entry.is_tried = true;
        self.pending = Some(PendingSubmission {
            model: entry.model,
            submitted_at: now,
        });
        RouteStep::Submit(Submission {
            model: entry.model,
            max_output_tokens: entry.max_output_tokens,
            unavailable_attempts: self.attempts + withheld_attempts,
            deadline: Timestamp::from_micros(
                self.query.expires_at.as_micros() - withheld_time.as_micros(),
            ),
        })
    }

    /// Notes that the pending submission has ended without an answer, and records what that tells
    /// of the model's time to its first token.
    pub fn submission_ended(
        &mut self,
        end: SubmissionEnd,
        estimates: &mut FirstTokenEstimates,
        now: Timestamp,
    ) {
        let Some(pending) = self.pending.take() else {
            return;
        };
        if end.forwarded {
            let number = self.catalog.model(pending.model).number;
            let waited = now - pending.submitted_at;
            estimates.record_unanswered(number, self.query.prompt_tokens, waited, now);
        }
        self.attempts = self.attempts.saturating_add(end.attempts);
        self.may_have_run |= end.forwarded;
        self.has_failed |= !end.rejected;
        self.retry_after = match (self.retry_after, end.retry_after) {
            (Some(earlier), Some(latest)) => Some(earlier.min(latest)),
            (earlier, latest) => earlier.or(latest),
        };
    }

    /// Notes that the pending submission has begun to answer: the route has ended. Records the time
    /// to the first token.
    pub fn answer_started(&mut self, estimates: &mut FirstTokenEstimates, now: Timestamp) {
        if let Some(pending) = self.pending.take() {
            let number = self.catalog.model(pending.model).number;
            let elapsed = now - pending.submitted_at;
            estimates.record(number, self.query.prompt_tokens, elapsed, now);
        }
        // nothing may follow an answer that has begun
        self.attempts = u32::MAX;
    }

    /// Drops the pending submission, which has not been submitted after all: its price exceeds a
    /// budget, for example. The model is not tried again.
    pub fn skip_submission(&mut self) {
        self.pending = None;
    }

    fn exhausted(&self, no_host: bool) -> RouteStep {
        RouteStep::Exhausted(RouteExhausted {
            rejected: !self.has_failed,
            attempts: self.attempts,
            retry_after: self.retry_after,
            no_host,
        })
    }
}

/// The part of the remaining time that is withheld from a submission for the fastest of the later
/// candidates; none where there is not enough time for both.
fn withheld_time(candidate: Candidate, later: &[Candidate], remaining: Span) -> Span {
    let later_times = later.iter().map(|candidate| candidate.first_token_time);
    let Some(fastest) = later_times.min() else {
        return Span::ZERO;
    };
    let both = fastest
        .as_micros()
        .saturating_add(candidate.first_token_time.as_micros());
    if both <= remaining.as_micros() {
        fastest
    } else {
        Span::ZERO
    }
}
