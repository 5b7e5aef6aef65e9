//! Takes one request along the fallback chain of its model.

mod query;
mod step;

use std::sync::Arc;

use super::{Catalog, FirstTokenEstimates, ModelInventory};
use crate::interface::{Span, Timestamp};

pub use query::{ChatQuery, RouteError};
pub use step::{RouteExhausted, RouteStep, Submission, SubmissionEnd};

/// A model in the route's fallback chain.
#[derive(Clone, Copy, Debug)]
struct ChainModel {
    /// The index of the model in the catalog.
    model: usize,
    max_output_tokens: u32,
    /// Whether a submission to the model has been made.
    is_tried: bool,
}

/// A model to which the next submission can be made.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    /// The position of the model in the route's chain.
    position: usize,
    /// The estimated time to the model's first token.
    first_token_time: Span,
}

/// The submission that has not ended yet.
#[derive(Clone, Copy, Debug)]
struct PendingSubmission {
    /// The index of the model in the catalog.
    model: usize,
    submitted_at: Timestamp,
}

/// The route of one request. It uses the same catalog until its end, also after a reload.
#[derive(Clone, Debug)]
pub struct Route {
    catalog: Arc<Catalog>,
    query: ChatQuery,
    /// The models that can be tried, in order of preference.
    chain: Vec<ChainModel>,
    /// The number of call attempts of the submissions that have ended.
    attempts: u32,
    may_have_run: bool,
    has_failed: bool,
    retry_after: Option<Span>,
    pending: Option<PendingSubmission>,
}

impl Route {
    /// Creates a route along the model's fallback chain. Skips models that the caller may not use
    /// (`is_allowed`) and models whose context window is too small for the prompt.
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

    /// Returns the catalog with which the route started.
    pub fn catalog(&self) -> &Arc<Catalog> {
        &self.catalog
    }

    /// Returns the next submission, or the end of the route. Must not be called while a submission
    /// is pending: call [`Route::submission_ended`] or [`Route::skip_submission`] first.
    pub fn next_step(
        &mut self,
        inventory: &ModelInventory,
        estimates: &FirstTokenEstimates,
        now: Timestamp,
    ) -> RouteStep {
        assert!(
            self.pending.is_none(),
            "next_step was called while a submission is pending"
        );
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
        // if no model is likely to send a first token in the remaining time, the preferred one is
        // tried: the decision module may have a better estimate
        let chosen = candidates
            .iter()
            .position(|candidate| candidate.first_token_time <= remaining)
            .unwrap_or(0);
        let later = &candidates[chosen + 1..];
        self.submit(candidates[chosen], later, now)
    }

    /// Returns the models that have not been tried and are on a model server in service. A model
    /// becomes a candidate again once such a model server is back.
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

    /// Makes the submission to a candidate. `later`: the candidates after it in the chain.
    fn submit(&mut self, candidate: Candidate, later: &[Candidate], now: Timestamp) -> RouteStep {
        let remaining = self.query.expires_at - now;
        let reserved_time = reserved_time(candidate, later, remaining);
        // one attempt is reserved for the next model too: otherwise model servers that fail fast
        // would use up all attempts
        let attempts_left = self.query.max_attempts - self.attempts;
        let reserved_attempts = u32::from(!later.is_empty() && attempts_left > 1);
        let entry = &mut self.chain[candidate.position];
        entry.is_tried = true;
        self.pending = Some(PendingSubmission {
            model: entry.model,
            submitted_at: now,
        });
        RouteStep::Submit(Submission {
            model: entry.model,
            max_output_tokens: entry.max_output_tokens,
            unavailable_attempts: self.attempts + reserved_attempts,
            deadline: Timestamp::from_micros(
                self.query.expires_at.as_micros() - reserved_time.as_micros(),
            ),
        })
    }

    /// Records that the pending submission ended without an answer. If a model server had received
    /// it, the time until then is a lower bound of the model's time to its first token.
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

    /// Records that the answer to the pending submission has started, which ends the route. The
    /// time to the first token is recorded in `estimates`.
    pub fn answer_started(&mut self, estimates: &mut FirstTokenEstimates, now: Timestamp) {
        if let Some(pending) = self.pending.take() {
            let number = self.catalog.model(pending.model).number;
            let elapsed = now - pending.submitted_at;
            estimates.record(number, self.query.prompt_tokens, elapsed, now);
        }
        // no submission may follow an answer that has started
        self.attempts = u32::MAX;
    }

    /// Drops the pending submission because it was not made, for example because its price exceeds
    /// a budget. The model is not tried again.
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

/// Returns the part of the remaining time that is reserved for the fastest of the later candidates;
/// zero if there is not enough time for both.
fn reserved_time(candidate: Candidate, later: &[Candidate], remaining: Span) -> Span {
    let later_times = later.iter().map(|candidate| candidate.first_token_time);
    let Some(fastest) = later_times.min() else {
        return Span::ZERO;
    };
    let time_for_both = fastest
        .as_micros()
        .saturating_add(candidate.first_token_time.as_micros());
    if time_for_both <= remaining.as_micros() {
        fastest
    } else {
        Span::ZERO
    }
}
