//! Simulated replicas: each prefills one prompt after another, caches the prompts of sessions, and
//! streams any number of answers at once.

use std::collections::HashMap;

use stilespan::interface::{Arrival, Span, Timestamp};

/// Number of replicas.
pub const REPLICAS: u64 = 9;
/// Number of replicas that hang during the outage.
const HANGING_REPLICAS: u64 = 3;
/// Start and end of the outage.
const OUTAGE_START: Span = Span::from_millis(8_000);
const OUTAGE_END: Span = Span::from_millis(11_000);
/// Time that a replica needs to prefill one token.
const PREFILL_PER_TOKEN: Span = Span::from_micros(33);
/// Time of a first token in addition to the prefill.
const FIRST_TOKEN_BASE: Span = Span::from_millis(15);
/// Duration of a stream after its first token.
const STREAM: Span = Span::from_millis(900);

/// What happens to an attempt at a replica.
#[derive(Clone, Copy, Debug)]
pub enum AttemptPlan {
    /// The answer arrives at these times.
    Answers {
        first_token: Timestamp,
        end: Timestamp,
        cached_tokens: u32,
    },
    /// Nothing arrives until the attempt times out or its client stops waiting.
    Hangs,
}

#[derive(Debug, Default)]
struct Replica {
    /// When the prefill of all prompts that were sent to it ends.
    prefilled_at: Timestamp,
    cached_tokens: HashMap<u64, u32>,
    in_flight: u32,
}

/// All replicas.
#[derive(Debug)]
pub struct Replicas {
    started_at: Timestamp,
    replicas: Vec<Replica>,
}

impl Replicas {
    pub fn new(started_at: Timestamp) -> Replicas {
        Replicas {
            started_at,
            replicas: (0..REPLICAS).map(|_| Replica::default()).collect(),
        }
    }

    /// Whether a replica hangs.
    pub fn hangs(&self, replica: u64, now: Timestamp) -> bool {
        let age = now - self.started_at;
        replica < HANGING_REPLICAS && OUTAGE_START <= age && age < OUTAGE_END
    }

    /// The number of replicas that work and have no attempt of any router in flight.
    pub fn idle(&self, now: Timestamp) -> usize {
        let is_idle =
            |index: &u64| !self.hangs(*index, now) && self.replicas[*index as usize].in_flight == 0;
        (0..REPLICAS).filter(is_idle).count()
    }

    /// Starts an attempt.
    pub fn start(&mut self, replica: u64, arrival: &Arrival, now: Timestamp) -> AttemptPlan {
        let hangs = self.hangs(replica, now);
        let replica = &mut self.replicas[replica as usize];
        replica.in_flight += 1;
        if hangs {
            return AttemptPlan::Hangs;
        }
        let session = arrival.session.unwrap_or(0);
        let cached = replica.cached_tokens.insert(session, arrival.prompt_tokens);
        let cached = cached.unwrap_or(arrival.shared_prefix_tokens);
        let cached_tokens = cached.min(arrival.prompt_tokens - 1);
        let uncached = u64::from(arrival.prompt_tokens - cached_tokens);
        let prefill = Span::from_micros(uncached * PREFILL_PER_TOKEN.as_micros());
        replica.prefilled_at = replica.prefilled_at.max(now) + prefill;
        let first_token = replica.prefilled_at + FIRST_TOKEN_BASE;
        AttemptPlan::Answers {
            first_token,
            end: first_token + STREAM,
            cached_tokens,
        }
    }

    /// Ends an attempt.
    pub fn end(&mut self, replica: u64) {
        self.replicas[replica as usize].in_flight -= 1;
    }
}
