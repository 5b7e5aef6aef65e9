//! Random but legal events, and an obvious model of the rules that every action is held against. No
//! replica is modelled.
#![allow(dead_code)]

use std::collections::BTreeMap;

use rand::RngExt;
use rand::rngs::StdRng;
use stilespan::interface::*;

use super::*;

/// Outcomes that come a second time.
const ODD: [Outcome; 6] = [
    Outcome::Completed,
    Outcome::Error,
    Outcome::Rejected,
    Outcome::ConnectionReset,
    Outcome::ConnectFailed,
    Outcome::Timeout,
];

pub struct Try {
    pub replica: u64,
    pub sent: Timestamp,
    pub over: Option<Outcome>,
    pub streaming: bool,
}

pub struct Open {
    pub class: usize,
    pub valid_until: Timestamp,
    pub tries: Vec<Try>,
    pub answered: bool,
}

pub struct World {
    pub set: Settings,
    pub rng: StdRng,
    pub now: Timestamp,
    pub open: BTreeMap<u32, Open>,
    pub fleet: BTreeMap<u64, ReplicaEntry>,
    pub barred: BTreeMap<u64, Timestamp>,
    pub next: u32,
    /// Attempts may have a second outcome, and a first token after their first.
    pub doubled: bool,
}

pub fn odd_settings(rng: &mut StdRng) -> Settings {
    let mut classes = Vec::new();
    for (effect, group) in [
        (Idempotency::Idempotent, DeduplicationScope::All),
        (Idempotency::Keyed, DeduplicationScope::All),
        (Idempotency::Keyed, DeduplicationScope::Zone),
        (Idempotency::Keyed, DeduplicationScope::Cell),
        (Idempotency::NonIdempotent, DeduplicationScope::All),
    ] {
        let late_worth = if rng.random_bool(0.3) { 0.5 } else { 0.0 };
        classes.push(Class {
            idempotency: effect,
            deduplication_scope: group,
            late_weight: late_worth,
            deduplication_window: Span::from_millis(400),
            ..Class::default()
        });
    }
    Settings {
        classes,
        router_count: rng.random_range(1..30),
        quotas: vec![30.0, 5.0],
        over_quota_weight: 0.1,
        cancellation: rng.random_bool(0.5),
        hedged_requests: rng.random_bool(0.5),
        endpoints_on_request: rng.random_bool(0.5),
        ..super::settings()
    }
}

impl World {
    fn list(&mut self) -> Event {
        let kind = [
            EndpointListKind::Partial,
            EndpointListKind::Complete,
            EndpointListKind::Error,
        ][self.rng.random_range(0..3)];
        let mut entries = Vec::new();
        for k in 0..6u64 {
            if self.rng.random_bool(0.5) {
                let state = [
                    EndpointState::InService,
                    EndpointState::InService,
                    EndpointState::Draining,
                    EndpointState::Removed,
                ];
                let state = state[self.rng.random_range(0..4)];
                let started = if self.rng.random_bool(0.2) {
                    self.now
                } else {
                    Timestamp::ZERO
                };
                let known = self.fleet.get(&k).map_or(started, |e| {
                    if started.as_micros() > 0 {
                        started
                    } else {
                        e.started_at
                    }
                });
                entries.push(ReplicaEntry {
                    state,
                    started_at: known,
                    zone: k as u32 % 2,
                    cell: k as u32 / 2,
                    ..entry(k)
                });
            }
        }
        if kind == EndpointListKind::Error {
            return list(kind, vec![]);
        }
        if kind == EndpointListKind::Complete {
            for k in std::mem::take(&mut self.fleet).into_keys() {
                self.barred.entry(k).or_insert(self.now);
            }
        }
        for e in &entries {
            let k = e.replica.0;
            self.fleet.insert(k, e.clone());
            match e.state {
                EndpointState::InService => drop(self.barred.remove(&k)),
                _ => drop(self.barred.entry(k).or_insert(self.now)),
            }
        }
        list(kind, entries)
    }

    fn ending(&mut self, id: u32, attempt: usize, timeout: bool) -> Event {
        let all = [
            Outcome::Completed,
            Outcome::Completed,
            Outcome::Completed,
            Outcome::Error,
            Outcome::Rejected,
            Outcome::ConnectionReset,
            Outcome::ConnectFailed,
        ];
        let open = self.open.get_mut(&id).unwrap();
        let outcome = if timeout {
            Outcome::Timeout
        } else {
            all[self.rng.random_range(0..7)]
        };
        let streaming = open.tries[attempt].streaming;
        let outcome = if streaming && outcome != Outcome::Completed {
            Outcome::ConnectionReset
        } else {
            outcome
        };
        open.tries[attempt].over = Some(outcome);
        open.answered |= outcome == Outcome::Completed || streaming;
        ended(id, attempt as u32, outcome, open.answered)
    }

    pub fn events(&mut self) -> Vec<Event> {
        let mut events = Vec::new();
        if self.rng.random_bool(0.05) {
            events.push(self.list());
        }
        for _ in 0..self.rng.random_range(0..3) {
            let (id, class) = (self.next, self.rng.random_range(0..5));
            self.next += 1;
            let wait = [50_000, 900_000, 5_000_000][self.rng.random_range(0..3)];
            let valid_until = self.now + Span::from_micros(wait);
            self.open.insert(
                id,
                Open {
                    class: class as usize,
                    valid_until,
                    tries: vec![],
                    answered: false,
                },
            );
            let (tenant, prompt) = (self.rng.random_range(0..3), self.rng.random_range(0..9_000));
            let session = self
                .rng
                .random_bool(0.7)
                .then(|| self.rng.random_range(0..50));
            let shared = prompt / 2;
            let prefix = self.rng.random_bool(0.5).then_some(7);
            let cap = self.rng.random_range(0..400);
            events.push(Event::RequestReceived(Arrival {
                request: RequestId(id),
                class,
                tenant,
                session,
                prefix,
                prompt_tokens: prompt,
                shared_prefix_tokens: shared,
                max_output_tokens: cap,
                expires_at: valid_until,
                ..Arrival::default()
            }));
        }
        for id in self.open.keys().copied().collect::<Vec<_>>() {
            for attempt in 0..self.open[&id].tries.len() {
                let doubled = self.doubled;
                let open = self.open.get_mut(&id).unwrap();
                let answered = open.answered;
                let (now, t) = (self.now, &mut open.tries[attempt]);
                if t.over.is_some() {
                    // a second outcome, or a first token after it: the first outcome counts
                    if doubled && self.rng.random_bool(0.05) {
                        let other = ODD[self.rng.random_range(0..ODD.len())];
                        events.push(ended(id, attempt as u32, other, answered));
                        events.push(first(id, attempt as u32, 1000));
                    }
                    continue;
                }
                if !t.streaming && now >= open.valid_until {
                    events.push(self.ending(id, attempt, true));
                } else if self.rng.random_bool(0.05) {
                    if !t.streaming && !open.answered && self.rng.random_bool(0.6) {
                        t.streaming = true;
                        events.push(first(id, attempt as u32, (now - t.sent).as_micros()));
                    } else {
                        events.push(self.ending(id, attempt, false));
                    }
                }
            }
        }
        if self.rng.random_bool(0.05) {
            events.push(ended(
                self.rng.random_range(0..9_999_999),
                3,
                Outcome::Completed,
                true,
            ));
        }
        events
    }

    pub fn check(&mut self, action: &Action) {
        match action {
            Action::StartAttempt {
                request, replica, ..
            } => {
                let grace = self.set.drain_grace;
                if let Some(&since) = self.barred.get(&replica.0) {
                    assert!(self.now - since <= grace, "sent to a drained replica");
                }
                let open = self.open.get_mut(&request.0).expect("sent what is unknown");
                assert!(!open.answered, "sent after the final answer");
                assert!(open.tries.len() < self.set.max_attempts as usize);
                let flying = open.tries.iter().any(|t| t.over.is_none());
                assert!(!flying || self.set.hedged_requests, "two copies");
                let ran = open
                    .tries
                    .iter()
                    .find(|t| t.over.is_none_or(|o| !o.never_ran()));
                let class = &self.set.classes[open.class];
                if let (Some(ran), true) = (ran, class.idempotency != Idempotency::Idempotent) {
                    assert_eq!(
                        class.idempotency,
                        Idempotency::Keyed,
                        "an unsafe request again"
                    );
                    assert!(self.now - ran.sent < class.deduplication_window);
                    let same = match class.deduplication_scope {
                        DeduplicationScope::All => true,
                        DeduplicationScope::Zone => ran.replica % 2 == replica.0 % 2,
                        DeduplicationScope::Cell => ran.replica == replica.0,
                    };
                    assert!(same, "outside the group");
                }
                open.tries.push(Try {
                    replica: replica.0,
                    sent: self.now,
                    over: None,
                    streaming: false,
                });
            }
            Action::Reject { request, .. } | Action::Fail { request } => {
                let open = self
                    .open
                    .get_mut(&request.0)
                    .expect("answered what is unknown");
                assert!(!open.answered, "answered twice");
                open.answered = true;
                let clean = open
                    .tries
                    .iter()
                    .all(|t| t.over.is_some_and(Outcome::never_ran));
                let class = &self.set.classes[open.class];
                let harmless = match class.idempotency {
                    Idempotency::Idempotent => true,
                    Idempotency::Keyed => {
                        clean || class.deduplication_scope == DeduplicationScope::All
                    }
                    Idempotency::NonIdempotent => clean,
                };
                assert!(
                    harmless || matches!(action, Action::Fail { .. }),
                    "refused what may have run"
                );
            }
            Action::CancelAttempt { request, attempt } => {
                assert!(self.set.cancellation);
                assert!((*attempt as usize) < self.open[&request.0].tries.len());
            }
            Action::SetTimer { at, .. } => assert!(*at > self.now),
            Action::WatchEndpoints => assert!(self.set.endpoints_on_request),
            Action::CheckHealth { .. } => panic!("probes are not allowed here"),
        }
    }
}
