//! Sessions stay where their prompts are kept: what is learned of reading, what a late answer of a
//! busy server does, and what is let in anew when a session would have to move.

mod common;

use std::collections::HashMap;

use common::*;
use stilespan::interface::*;

/// Tokens that open all sessions, and what reading a token costs.
const OPENING: u32 = 8_000;
const READ_US: u64 = 30;
/// Turns after which reading is known.
const TURNS: u32 = 16;

/// A turn of a session; of none, and with no opening that others share, for 0.
fn turn(request: u32, session: u64, prompt: u32) -> Arrival {
    if session == 0 {
        return Arrival {
            prompt_tokens: prompt,
            ..arrival(request)
        };
    }
    Arrival {
        session: Some(session),
        prefix: Some(7),
        shared_prefix_tokens: OPENING,
        prompt_tokens: prompt,
        ..arrival(request)
    }
}

/// A gateway and servers that keep what they have read, unless `forget` has them lose it at once.
struct Site {
    gateway: Gateway,
    cached_tokens: HashMap<(u64, u64), u32>,
    forget: bool,
    last: u32,
}

impl Site {
    fn new(servers: u64) -> Site {
        Site {
            gateway: Gateway::new(settings(), servers),
            cached_tokens: HashMap::new(),
            forget: false,
            last: 0,
        }
    }

    /// What became of a turn, within its aim: sent to a server, refused, or neither.
    fn ask(&mut self, session: u64, prompt: u32) -> (Option<u64>, bool) {
        self.last += 1;
        let id = self.last;
        let mut actions = self.gateway.ask(10_000, turn(id, session, prompt));
        for _ in 0..100 {
            if let Some(&(_, to)) = sends(&actions).iter().find(|s| s.0 == id) {
                return (Some(to), false);
            }
            if refused(&actions, id) {
                return (None, true);
            }
            actions = self
                .gateway
                .step(10_000, vec![Event::TimerFired { timer_id: 0 }]);
        }
        (None, false)
    }

    /// A turn answered whole: its server.
    fn play(&mut self, session: u64, prompt: u32) -> Option<u64> {
        let (to, _) = self.ask(session, prompt);
        let (to, id) = (to?, self.last);
        let cached_tokens = self
            .cached_tokens
            .get(&(to, session))
            .copied()
            .unwrap_or(0)
            .min(prompt - 1);
        if !self.forget {
            self.cached_tokens.insert((to, session), prompt);
        }
        let elapsed = 20_000 + READ_US * u64::from(prompt - cached_tokens);
        self.gateway.step(elapsed, vec![first(id, 0, elapsed)]);
        self.end(Outcome::Completed, 100_000, Some(cached_tokens));
        Some(to)
    }

    fn end(&mut self, outcome: Outcome, elapsed: u64, cached_tokens: Option<u32>) {
        let (request, attempt, request_complete, report) = (RequestId(self.last), 0, true, None);
        let ended = Event::AttemptEnded(AttemptEnded {
            request,
            attempt,
            outcome,
            elapsed: Span::from_micros(elapsed),
            cached_tokens,
            request_complete,
            load_report: report,
        });
        self.gateway.step(elapsed, vec![ended]);
    }

    /// Several sessions of some turns each; the server of the first one's last turn.
    fn met(&mut self, sessions: u64) -> Option<u64> {
        let mut at = None;
        for n in 0..20 {
            for session in 1..=sessions {
                let to = self.play(session, 9_000 + 300 * n);
                at = if session == 1 { to } else { at };
            }
        }
        at
    }
}

/// A busy server answers one turn too late, and has answered others before: the session's next turn
/// still goes there. What the late one had waited, twice over, would put the server off beyond the
/// next turn's aim.
#[test]
fn late_answer_moves_no_session() {
    let mut site = Site::new(4);
    let at = site.met(3);
    assert!(at.is_some());
    assert_eq!(site.ask(1, 15_000), (at, false));
    site.end(Outcome::Timeout, 1_000_000, None);
    // its client comes again within its patience
    assert_eq!(site.ask(1, 15_000), (at, false));
}

/// Reading is learned against what was read, not what was believed kept. A server whose copies go
/// void reads whole prompts where next to nothing was thought unread: what takes 0.6 s to read is
/// known to be in time, and what takes 1.8 s is answered at once. Learned against beliefs, a few
/// tokens would seem to take long, and all would be refused.
#[test]
fn prefill_is_fitted_to_uncached_tokens() {
    let mut site = Site::new(1);
    site.forget = true;
    for n in 0..TURNS {
        assert!(site.play(1, 10_000 + 500 * (n % 8)).is_some(), "turn {n}");
    }
    assert_eq!(site.ask(0, 60_000), (None, true));
    assert_eq!(site.ask(0, 20_000).0, Some(0));
}

/// A session whose server is late with its answers is not read anew elsewhere, where that takes a
/// large part of its time and all others are worth more for their work: it is answered at once. One
/// whose server is gone is served elsewhere.
#[test]
fn expensive_migration_is_rejected_while_cached() {
    let mut site = Site::new(3);
    let at = site.met(6).expect("a server");
    // a turn there gets no first token, long after it was to come: nothing further goes there
    assert_eq!(site.ask(1, 15_000).0, Some(at));
    site.gateway
        .step(500_000, vec![Event::TimerFired { timer_id: 0 }]);
    assert_eq!(site.ask(1, 15_000), (None, true));
    let gone = ReplicaEntry {
        state: EndpointState::Draining,
        ..entry(at)
    };
    site.gateway
        .step(1_000, vec![list(EndpointListKind::Partial, vec![gone])]);
    assert!(site.ask(1, 15_000).0.is_some_and(|to| to != at));
}
