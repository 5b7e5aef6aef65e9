//! Sessions of turns that enter at any of three routers, played in simulated time.

use std::collections::HashMap;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use stilespan::interface::*;

use super::common::*;
use super::replicas::{REPLICAS, Replicas};

const ROUTERS: u32 = 3;
/// Number of sessions, which together send about 14 turns per second.
const SESSIONS: u64 = 38;
/// Time from the end of a turn to the session's next turn, in milliseconds.
const THINK_TIME_MS: std::ops::Range<u64> = 800..2_500;
const DURATION: Span = Span::from_secs(30);
/// Time between two steps of a router.
const STEP: Span = Span::from_millis(4);
/// Number of prompt tokens that all sessions share, and that a turn adds to its session's prompt.
const SHARED_PREFIX_TOKENS: u32 = 8_000;
const TURN_TOKENS: std::ops::Range<u32> = 300..2_000;

/// A request that was rejected or failed.
#[derive(Clone, Copy, Debug)]
pub struct UnservedRequest {
    #[expect(dead_code, reason = "shown in the failure message")]
    after: Span,
    pub reason: UnservedReason,
    /// The number of working replicas that had no attempt of any router in flight.
    pub idle_replicas: usize,
}

/// An event that is due at a router.
#[derive(Debug)]
struct DueEvent {
    at: Timestamp,
    router: usize,
    event: Event,
}

/// An attempt in flight.
#[derive(Clone, Copy, Debug)]
pub(super) struct InFlightAttempt {
    pub(super) replica: u64,
    pub(super) number: u32,
}

#[derive(Debug)]
pub(super) struct Turn {
    pub(super) arrival: Arrival,
    pub(super) attempts: u32,
    pub(super) in_flight: Option<InFlightAttempt>,
}

#[derive(Debug)]
struct Session {
    prompt_tokens: u32,
    next_turn_at: Option<Timestamp>,
}

/// The routers, replicas and sessions of one seed.
pub struct Simulation {
    rng: StdRng,
    pub(super) now: Timestamp,
    routers: Vec<TestRouter>,
    pub(super) replicas: Replicas,
    sessions: Vec<Session>,
    pub(super) turns: HashMap<u32, Turn>,
    due: Vec<DueEvent>,
    last_request: u32,
    unserved: Vec<UnservedRequest>,
}

/// Settings with two classes that differ in weight and deadline.
fn sparse_settings() -> Settings {
    let class = |priority_weight, deadline| Class {
        first_token_objective: Span::from_millis(700),
        first_token_objective_per_1000_prompt_tokens: Span::from_millis(13),
        token_interval_objective: Span::from_millis(80),
        deadline,
        priority_weight,
        ..Class::default()
    };
    Settings {
        classes: vec![
            class(3.0, Span::from_millis(2_800)),
            class(1.0, Span::from_secs(15)),
        ],
        router_count: ROUTERS,
        hedged_requests: false,
        health_checks: true,
        ..settings()
    }
}

impl Simulation {
    pub fn new(seed: u64) -> Simulation {
        let mut rng = StdRng::seed_from_u64(seed);
        let entries: Vec<ReplicaEntry> = (0..REPLICAS).map(entry).collect();
        let router = |_| TestRouter::seeded(sparse_settings(), rng.random(), entries.clone());
        let routers = (0..ROUTERS).map(router).collect();
        let mut first_turn = |_| Session {
            prompt_tokens: SHARED_PREFIX_TOKENS,
            next_turn_at: Some(START + Span::from_millis(rng.random_range(0..2_500))),
        };
        Simulation {
            sessions: (0..SESSIONS).map(&mut first_turn).collect(),
            rng,
            now: START,
            routers,
            replicas: Replicas::new(START),
            turns: HashMap::new(),
            due: Vec::new(),
            last_request: 0,
            unserved: Vec::new(),
        }
    }

    /// Plays the simulation and returns the unserved requests.
    pub fn run(mut self) -> Vec<UnservedRequest> {
        while self.now - START < DURATION {
            self.now = self.now + STEP;
            self.begin_turns();
            for router in 0..self.routers.len() {
                let events = self.take_due(router);
                let actions = self.routers[router].step(STEP.as_micros(), events);
                for action in actions {
                    self.execute(router, action);
                }
            }
        }
        self.unserved
    }

    fn begin_turns(&mut self) {
        for session in 0..self.sessions.len() {
            if self.sessions[session]
                .next_turn_at
                .is_none_or(|at| at > self.now)
            {
                continue;
            }
            self.last_request += 1;
            let class = u32::from(session % 3 == 0);
            let state = &mut self.sessions[session];
            state.next_turn_at = None;
            state.prompt_tokens += self.rng.random_range(TURN_TOKENS);
            let deadline = sparse_settings().classes[class as usize].deadline;
            let arrival = arrival(self.last_request)
                .with_class(class)
                .with_session(session as u64)
                .with_prefix(1)
                .with_shared_prefix_tokens(SHARED_PREFIX_TOKENS)
                .with_prompt_tokens(state.prompt_tokens)
                .with_expires_at(self.now + deadline);
            let turn = Turn {
                arrival,
                attempts: 0,
                in_flight: None,
            };
            self.turns.insert(self.last_request, turn);
            let router = self.rng.random_range(0..self.routers.len());
            self.schedule(router, self.now, Event::RequestReceived(arrival));
        }
    }

    pub(super) fn schedule(&mut self, router: usize, at: Timestamp, event: Event) {
        self.due.push(DueEvent { at, router, event });
    }

    /// Returns the events that are due at a router. Each ends the attempts that it reports as
    /// ended.
    fn take_due(&mut self, router: usize) -> Vec<Event> {
        let now = self.now;
        let is_due = |due: &mut DueEvent| due.router == router && due.at <= now;
        let mut due: Vec<DueEvent> = self.due.extract_if(.., is_due).collect();
        due.sort_by_key(|due| due.at);
        let mut events = vec![Event::TimerFired { timer_id: 0 }];
        for DueEvent { event, .. } in due {
            if let Event::AttemptEnded(end) = event {
                self.end_attempt(&end);
            }
            events.push(event);
        }
        events
    }

    fn end_attempt(&mut self, end: &AttemptEnded) {
        let Some(turn) = self.turns.get_mut(&end.request.0) else {
            return;
        };
        if let Some(attempt) = turn
            .in_flight
            .take_if(|attempt| attempt.number == end.attempt)
        {
            self.replicas.end(attempt.replica);
        }
        if end.outcome == Outcome::Completed {
            self.end_turn(end.request.0);
        }
    }

    /// Ends a turn; its session begins the next one after the think time.
    fn end_turn(&mut self, request: u32) {
        let Some(turn) = self.turns.get(&request) else {
            return;
        };
        let think_time = Span::from_millis(self.rng.random_range(THINK_TIME_MS));
        let session = turn.arrival.session.unwrap_or(0) as usize;
        self.sessions[session].next_turn_at = Some(self.now + think_time);
    }

    fn execute(&mut self, router: usize, action: Action) {
        match action {
            Action::StartAttempt {
                request,
                replica,
                timeout,
            } => self.start_attempt(router, request.0, replica.0, timeout),
            Action::Reject {
                request, reason, ..
            }
            | Action::Fail {
                request, reason, ..
            } => {
                self.end_turn(request.0);
                self.unserved.push(UnservedRequest {
                    after: self.now - START,
                    reason,
                    idle_replicas: self.replicas.idle(self.now),
                });
            }
            Action::CheckHealth { replica } => self.answer_health_check(router, replica),
            _ => {}
        }
    }
}
