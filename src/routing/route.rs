//! One RPC's way along its model's chain.

use std::sync::Arc;

use super::{Catalog, Holdings, Needs};
use crate::interface::{Span, Timestamp};

/// What is asked for.
#[derive(Clone, Debug)]
pub struct Ask {
    /// The model, by its place in the catalog.
    pub model: usize,
    /// Prompt tokens.
    pub prompt: u32,
    /// The most tokens of an answer, where the client tells.
    pub cap: Option<u32>,
    /// When its client stops waiting for a first token.
    pub expires: Timestamp,
    /// Call attempts that it may have over all models.
    pub attempts: u32,
    /// A repeat is harmless even where an attempt may have run.
    pub safe: bool,
}

/// Why an RPC has no route at all.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotAsked {
    /// The asker may not use the model.
    Forbidden,
    /// The model's window doesn't hold the prompt; the window.
    TooLong(u32),
}

/// A submission to the decision module.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Leg {
    /// The model, by its place in the catalog.
    pub model: usize,
    /// The most tokens of its answer.
    pub cap: u32,
    /// Call attempts that it can't have: earlier legs had them, or they are kept back for a later
    /// one.
    pub spent: u32,
    /// When it ends unless a first token has come.
    pub until: Timestamp,
}

/// How a leg ended without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ended {
    /// Call attempts that it had.
    pub attempts: u32,
    /// Some attempt reached a server, and may have run.
    pub sent: bool,
    /// It was declined, and told to come back then.
    pub retry_in: Option<Span>,
    /// It was declined rather than failed.
    pub refused: bool,
}

/// Why there is no further leg.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GaveUp {
    /// A repeat is harmless.
    pub refused: bool,
    /// Call attempts over all legs.
    pub attempts: u32,
    /// When to come back, where some leg told: the soonest, as any model of the chain will do.
    pub retry_in: Option<Span>,
    /// No model of the chain had a host.
    pub no_host: bool,
}

/// What comes next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// This leg.
    Try(Leg),
    /// Nothing.
    End(GaveUp),
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
    ask: Ask,
    /// The models that may be tried, in order.
    chain: Vec<(usize, u32, Tried)>,
    attempts: u32,
    may_have_run: bool,
    failed: bool,
    retry_in: Option<Span>,
    out: Option<(usize, Timestamp)>,
}

impl Route {
    /// A route along a model's chain, of those that the asker may use and whose window holds the
    /// prompt.
    pub fn new(
        catalog: Arc<Catalog>,
        ask: Ask,
        allowed: impl Fn(usize) -> bool,
    ) -> Result<Route, NotAsked> {
        let preferred = catalog.model(ask.model);
        if !allowed(ask.model) {
            return Err(NotAsked::Forbidden);
        }
        if preferred.room(ask.prompt).is_none() {
            return Err(NotAsked::TooLong(preferred.window));
        }
        let chain = preferred
            .chain
            .iter()
            .filter(|&&at| allowed(at))
            .filter_map(|&at| {
                let room = catalog.model(at).room(ask.prompt)?;
                Some((at, room.min(ask.cap.unwrap_or(u32::MAX)), Tried::No))
            });
        let chain = chain.collect();
        Ok(Route {
            catalog,
            ask,
            chain,
            attempts: 0,
            may_have_run: false,
            failed: false,
            retry_in: None,
            out: None,
        })
    }

    /// The catalog that it goes by.
    pub fn catalog(&self) -> &Arc<Catalog> {
        &self.catalog
    }

    /// The first leg, or the next once [`Route::ended`] was told of the one before.
    pub fn next(&mut self, hosts: &Holdings, needs: &Needs, now: Timestamp) -> Step {
        assert!(self.out.is_none(), "a leg is out: two would run at once");
        let spent_up = self.attempts >= self.ask.attempts;
        let unsafe_again = self.may_have_run && !self.ask.safe;
        if spent_up || unsafe_again || now >= self.ask.expires {
            return self.give_up(false);
        }
        let left = self.ask.expires - now;
        let number = |at: usize| self.catalog.model(at).number;
        let has_host = |at: usize| hosts.hosts(number(at)) > 0;
        // a model passed over comes into question again: its hosts may be back
        let open: Vec<usize> = (0..self.chain.len())
            .filter(|&k| self.chain[k].2 != Tried::Yes && has_host(self.chain[k].0))
            .collect();
        let need = |k: usize| needs.of(number(self.chain[k].0), self.ask.prompt, now);
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
        let last = u32::from(others && self.ask.attempts - self.attempts > 1);
        for k in 0..at {
            if self.chain[k].2 == Tried::No {
                self.chain[k].2 = Tried::Passed;
            }
        }
        let (model, cap, tried) = &mut self.chain[at];
        *tried = Tried::Yes;
        self.out = Some((*model, now));
        let until = Timestamp::from_micros(self.ask.expires.as_micros() - kept.as_micros());
        Step::Try(Leg {
            model: *model,
            cap: *cap,
            spent: self.attempts + last,
            until,
        })
    }

    /// The leg that was out has ended without an answer. What that tells of the model's need is
    /// learnt.
    pub fn ended(&mut self, how: Ended, needs: &mut Needs, now: Timestamp) {
        let Some((model, since)) = self.out.take() else {
            return;
        };
        if how.sent {
            needs.missed(
                self.catalog.model(model).number,
                self.ask.prompt,
                now - since,
                now,
            );
        }
        self.attempts = self.attempts.saturating_add(how.attempts);
        self.may_have_run |= how.sent;
        self.failed |= !how.refused;
        self.retry_in = match (self.retry_in, how.retry_in) {
            (Some(a), Some(b)) => Some(a.min(b)),
            (a, b) => a.or(b),
        };
    }

    /// The leg that was out has begun to answer: the route is over, and its time is learnt.
    pub fn answered(&mut self, needs: &mut Needs, now: Timestamp) {
        if let Some((model, since)) = self.out.take() {
            needs.learn(
                self.catalog.model(model).number,
                self.ask.prompt,
                now - since,
                now,
            );
        }
        // nothing may follow an answer that has begun
        self.attempts = u32::MAX;
    }

    /// Passes a model over whose leg was not submitted after all (its price goes beyond a budget,
    /// say).
    pub fn passed(&mut self) {
        self.out = None;
    }

    fn give_up(&self, no_host: bool) -> Step {
        Step::End(GaveUp {
            refused: !self.failed,
            attempts: self.attempts,
            retry_in: self.retry_in,
            no_host,
        })
    }
}
