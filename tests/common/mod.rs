//! A gateway in miniature for tests: it keeps time and collects actions. It models no replica.
#![allow(dead_code)]

pub mod bystander;
pub mod client;
pub mod counted;
pub mod fleet;
pub mod folder;
pub mod injected;
pub mod peers;
pub mod persistent;
pub mod platform;
pub mod process;
pub mod scripted;
pub mod small;
pub mod world;

use stilespan::Balancer;
use stilespan::interface::*;

pub const START: Timestamp = Timestamp::from_secs(100);

pub struct Gateway {
    pub balancer: Balancer,
    pub now: Timestamp,
}

pub fn settings() -> Settings {
    let class = Class {
        first_token_objective: Span::from_secs(1),
        token_interval_objective: Span::from_millis(80),
        ..Class::default()
    };
    Settings {
        classes: vec![class],
        max_attempts: 3,
        cancellation: true,
        hedged_requests: true,
        drain_grace: Span::from_millis(500),
        overload_factor: 4.0,
        ..Settings::default()
    }
}

pub fn entry(replica: u64) -> ReplicaEntry {
    ReplicaEntry {
        replica: ReplicaId(replica),
        weight: 1.0,
        ..ReplicaEntry::default()
    }
}

pub fn arrival(request: u32) -> Arrival {
    Arrival {
        request: RequestId(request),
        prompt_tokens: 500,
        max_output_tokens: 400,
        ..Arrival::default()
    }
}

pub fn list(kind: EndpointListKind, entries: Vec<ReplicaEntry>) -> Event {
    Event::EndpointsUpdated {
        kind,
        entries: entries.into(),
    }
}

pub fn ended(request: u32, attempt: u32, outcome: Outcome, request_complete: bool) -> Event {
    let (request, elapsed) = (RequestId(request), Span::from_millis(50));
    Event::AttemptEnded(AttemptEnded {
        request,
        attempt,
        outcome,
        elapsed,
        cached_tokens: None,
        request_complete,
        load_report: None,
    })
}

pub fn first(request: u32, attempt: u32, elapsed: u64) -> Event {
    Event::FirstToken {
        request: RequestId(request),
        attempt,
        elapsed: Span::from_micros(elapsed),
    }
}

impl Gateway {
    pub fn new(settings: Settings, replicas: u64) -> Gateway {
        let mut gateway = Gateway {
            balancer: Balancer::new(settings, 11, START),
            now: START,
        };
        gateway.step(
            0,
            vec![list(
                EndpointListKind::Persisted,
                (0..replicas).map(entry).collect(),
            )],
        );
        gateway
    }

    /// Lets time pass, hands the events over and returns the actions, timers aside.
    pub fn step(&mut self, after: u64, events: Vec<Event>) -> Vec<Action> {
        let mut actions = Vec::new();
        self.now = self.now + Span::from_micros(after);
        self.balancer.step(self.now, &events, &mut actions);
        actions.retain(|a| !matches!(a, Action::SetTimer { .. }));
        actions
    }

    pub fn ask(&mut self, after: u64, mut arrival: Arrival) -> Vec<Action> {
        arrival.expires_at = Timestamp::from_micros(self.now.as_micros() + after + 5_000_000);
        self.step(after, vec![Event::RequestReceived(arrival)])
    }
}

/// Where the sends among these actions go.
pub fn sends(actions: &[Action]) -> Vec<(u32, u64)> {
    let send = |a: &Action| match a {
        Action::StartAttempt {
            request, replica, ..
        } => Some((request.0, replica.0)),
        _ => None,
    };
    actions.iter().filter_map(send).collect()
}

pub fn refused(actions: &[Action], id: u32) -> bool {
    actions
        .iter()
        .any(|a| matches!(a, Action::Reject { request, .. } if request.0 == id))
}

pub fn failed(actions: &[Action], id: u32) -> bool {
    actions.contains(&Action::Fail {
        request: RequestId(id),
    })
}
