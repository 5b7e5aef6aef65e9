//! What many gateways do together, each on its own: the sums that a rule or a peer sees. Every gateway is a
//! `Balancer` of its own with values for time; no replica is modelled, answers come after a fixed time.

mod common;

use common::*;
use rstest::rstest;
use stilespan::interface::*;

/// Gateways in the fleets of these tests.
const GATEWAYS: u32 = 100;

/// Many gateways, and what they sent: when, from which, and where to.
struct Fleet {
    gateways: Vec<Gateway>,
    open: Vec<(Time, usize, u32)>,
    sent: Vec<(Time, usize, u64)>,
    ended: usize,
    next: u32,
}

impl Fleet {
    fn new(settings: &Settings, entries: &[Entry]) -> Fleet {
        let gateway = |seed| {
            let balancer = stilespan::Balancer::new(settings.clone(), seed, START);
            let mut gateway = Gateway { balancer, now: START };
            gateway.step(0, vec![list(ListKind::Persisted, entries.to_vec())]);
            gateway
        };
        let gateways = (0..u64::from(settings.instances)).map(gateway).collect();
        Fleet { gateways, open: Vec::new(), sent: Vec::new(), ended: 0, next: 0 }
    }

    /// One request for each gateway in turn, spread evenly over `span`; first tokens come after 50 ms, answers
    /// end 200 ms later.
    fn round(&mut self, span: Dur) {
        let start = self.gateways[0].now;
        for k in 0..self.gateways.len() {
            let now = start + Dur(span.0 * k as u64 / self.gateways.len() as u64);
            self.settle(now);
            self.next += 1;
            let ask = Arrival { valid_until: now + Dur(5_000_000), ..arrival(self.next) };
            self.act(k, now, vec![Event::Request(ask)]);
        }
        let end = start + span;
        self.settle(end);
        for k in 0..self.gateways.len() {
            self.act(k, end, vec![Event::Timer { mark: 0 }]);
        }
    }

    fn settle(&mut self, now: Time) {
        let (due, open) = self.open.iter().partition(|o| o.0 <= now);
        self.open = open;
        for (at, k, id) in due {
            let events = vec![first(id, 0, 50_000), ended(id, 0, Outcome::Ok, true)];
            self.act(k, at.max(self.gateways[k].now), events);
        }
    }

    fn act(&mut self, k: usize, now: Time, events: Vec<Event>) {
        let after = now - self.gateways[k].now;
        for action in self.gateways[k].step(after.0, events) {
            match action {
                Action::Send { request, replica, .. } => {
                    self.sent.push((now, k, replica.0));
                    self.open.push((now + Dur(250_000), k, request.0));
                }
                Action::Refuse { .. } | Action::Fail { .. } => self.ended += 1,
                _ => {}
            }
        }
    }

    /// The most sends to one replica within any window.
    fn most(&self, window: Dur, of: impl Fn(u64) -> bool) -> usize {
        let mut most = 0;
        for &(at, _, to) in self.sent.iter().filter(|s| of(s.2)) {
            let within = |s: &&(Time, usize, u64)| s.2 == to && s.0 >= at && s.0 - at <= window;
            most = most.max(self.sent.iter().filter(within).count());
        }
        most
    }
}

fn rules() -> Settings {
    Settings {
        instances: GATEWAYS,
        fall: Dur(1_500_000),
        start_capacity: 0.3,
        warm_after: Dur(9_000_000),
        ..settings()
    }
}

fn cold(replica: u64) -> Entry {
    Entry { started: START, ..entry(replica) }
}

/// A hundred gateways with a request a second each: a cold replica gets its part of them at once, though that is
/// far less than one request of any single gateway's, and though no gateway has sent anything before. It takes
/// in turn what the part allows and no more: three tenths of a warm one's and twice the margin.
#[test]
fn the_parts_of_many_gateways_reach_a_cold_replica_and_keep_its_rule() {
    let mut entries: Vec<Entry> = (0..30).map(entry).collect();
    entries.extend((30..40).map(cold));
    let mut fleet = Fleet::new(&rules(), &entries);
    for _ in 0..3 {
        fleet.round(Dur(1_000_000));
    }
    // 100 requests a second over 40 replicas: a warm one's part is 2.5 a second, all of it within its means
    let to_cold = fleet.sent.iter().filter(|s| s.2 >= 30).count();
    assert!(to_cold >= 20, "{to_cold} of {} sends to ten cold replicas in 3 s", fleet.sent.len());
    let rule = 4.0 * 0.5 * 2.5 * 1.5;
    let most = fleet.most(Dur(1_500_000), |to| to >= 30);
    assert!((most as f64) <= rule, "{most} sends to one cold replica in its window, {rule} allowed");
}

/// While one process of a gateway replaces another both are told that there is one gateway, and share its clients: a cold
/// replica gets no more from the two than from the one, and its rule holds for their sum.
#[test]
fn two_processes_of_one_gateway_send_a_cold_replica_no_more_than_one() {
    let mut entries: Vec<Entry> = (0..30).map(entry).collect();
    entries.extend((30..40).map(cold));
    let set = Settings { instances: 1, ..rules() };
    let sent = |processes: u64| {
        let mut fleet = Fleet::new(&set, &entries);
        for seed in 1..processes {
            let mut gateway =
                Gateway { balancer: stilespan::Balancer::new(set.clone(), seed, START), now: START };
            gateway.step(0, vec![list(ListKind::Persisted, entries.clone())]);
            fleet.gateways.push(gateway);
        }
        // a hundred requests a second in all, for three seconds
        for _ in 0..300 / processes {
            fleet.round(Dur(10_000 * processes));
        }
        let to_cold = fleet.sent.iter().filter(|s| s.2 >= 30).count();
        (to_cold, fleet.most(Dur(1_500_000), |to| to >= 30))
    };
    let (one, two) = (sent(1), sent(2));
    assert!(one.0 >= 20, "{one:?}");
    assert!(two.0 as f64 <= 1.3 * one.0 as f64, "{one:?} {two:?}");
    assert!(two.1 as f64 <= 4.0 * 0.5 * 2.5 * 1.5, "{one:?} {two:?}");
}

/// A fleet that is all cold, and one with a single warm replica left, met by gateways that have sent nothing:
/// together they stay under the rule, and each request is sent or refused, at once where
/// no warm replica is left to wait for.
#[rstest]
#[case::all_cold(0)]
#[case::one_warm(1)]
fn a_cold_fleet_is_not_sent_one_request_by_every_gateway_at_once(#[case] warm: u64) {
    let entries: Vec<Entry> = (0..10).map(|k| if k < warm { entry(k) } else { cold(k) }).collect();
    let mut fleet = Fleet::new(&rules(), &entries);
    // all of them have a request within a tenth of a second
    fleet.round(Dur(100_000));
    let rule = 4.0 * 0.3 * 10.0;
    let most = fleet.most(Dur(1_500_000), |to| to >= warm);
    assert!((most as f64) <= rule, "{most} sends to one cold replica, {rule} allowed");
    assert!(fleet.sent.len() >= 30, "{} sends", fleet.sent.len());
    if warm == 0 {
        // what has no turn is answered at once, not when its time runs out
        assert_eq!(fleet.sent.len() + fleet.ended, GATEWAYS as usize);
    }
    for _ in 0..4 {
        for k in 0..fleet.gateways.len() {
            let now = fleet.gateways[k].now + Dur(500_000);
            fleet.act(k, now, vec![Event::Timer { mark: 0 }]);
        }
    }
    assert_eq!(fleet.sent.len() + fleet.ended, GATEWAYS as usize);
}

fn probing() -> Settings {
    let report = vec![Field::Errors, Field::Served, Field::Util, Field::Other];
    Settings { probes: true, report, ..rules() }
}

fn probes(actions: &[Action]) -> Vec<u64> {
    let probe = |a: &Action| match a {
        Action::Probe { replica } => Some(replica.0),
        _ => None,
    };
    actions.iter().filter_map(probe).collect()
}

fn told(replica: u64, outcome: Outcome, report: Option<Report>) -> Event {
    Event::Probed { replica: ReplicaId(replica), outcome, took: Dur(2_000), report }
}

/// A gateway that has sent nothing meets a replica that others have found slow, one that answers no probe and one
/// that can't be reached: it sends to the others alone, soon, and asks for no more than three loads a request.
#[test]
fn a_gateway_that_knows_nothing_sends_where_loads_tell_it_to() {
    let mut to = Vec::new();
    for seed in 0..40 {
        let balancer = stilespan::Balancer::new(probing(), seed, START);
        let mut gateway = Gateway { balancer, now: START };
        gateway.step(0, vec![list(ListKind::Persisted, (0..6).map(entry).collect())]);
        for id in 1..=4 {
            let mut actions = gateway.ask(100_000, arrival(id));
            let mut asked = 0;
            for _ in 0..100 {
                asked += probes(&actions).len();
                let answers = probes(&actions).into_iter().filter_map(|k| match k {
                    0 => Some(told(k, Outcome::Ok, Some([0.0, 0.5, 0.6, 0.5]))),
                    1 => None,
                    2 => Some(told(k, Outcome::ConnectFailed, None)),
                    _ => Some(told(k, Outcome::Ok, Some([0.0, 4.0, 0.1, 0.1]))),
                });
                let events = answers.chain([Event::Timer { mark: 0 }]).collect();
                to.extend(sends(&actions).iter().map(|s| s.1));
                actions = gateway.step(2_000, events);
            }
            assert!(asked <= 6, "{asked} probes for one request");
            gateway.step(2_000, vec![first(id, 0, 50_000), ended(id, 0, Outcome::Ok, true)]);
        }
    }
    assert_eq!(to.len(), 160, "each is sent within 200 ms");
    let slow = to.iter().filter(|&&k| k < 3).count();
    assert!(slow <= 8, "{slow} of 160 sends to replicas that are slow or gone");
}

/// Sends of one request, of a gateway that knows nothing, to replicas below `silent`, which answer no probe.
fn sent_to_silent(silent: u64, replicas: u64) -> usize {
    let mut to_silent = 0;
    for seed in 0..200 {
        let balancer = stilespan::Balancer::new(probing(), seed, START);
        let mut gateway = Gateway { balancer, now: START };
        gateway.step(0, vec![list(ListKind::Persisted, (0..replicas).map(entry).collect())]);
        let mut actions = gateway.ask(1_000, arrival(1));
        for _ in 0..100 {
            to_silent += sends(&actions).iter().filter(|s| s.1 < silent).count();
            let report = Some([0.0, 4.0, 0.1, 0.1]);
            let answers = probes(&actions).into_iter().filter(|&k| k >= silent);
            let answers = answers.map(|k| told(k, Outcome::Ok, report));
            let events = answers.chain([Event::Timer { mark: 0 }]).collect();
            actions = gateway.step(2_000, events);
        }
    }
    to_silent
}

/// A lost zone, silent: a request goes there only where neither three nor three more have answered.
#[test]
fn a_request_keeps_away_from_replicas_that_answer_no_probe() {
    // one in three silent: never six of them
    assert_eq!(sent_to_silent(4, 12), 0);
    // three in four: all three of a draw in 38 of 100, both times in 15
    let most = sent_to_silent(9, 12);
    assert!(most <= 50, "{most} of 200 requests sent to a silent replica");
}

/// A replica whose probe failed is left alone for a while: no probe for each request that comes meanwhile.
#[test]
fn a_failed_probe_puts_a_replica_off() {
    let mut gateway = Gateway { balancer: stilespan::Balancer::new(probing(), 1, START), now: START };
    gateway.step(0, vec![list(ListKind::Persisted, (0..3).map(entry).collect())]);
    assert_eq!(probes(&gateway.ask(1_000, arrival(1))).len(), 3);
    let good = Some([0.0, 4.0, 0.1, 0.1]);
    let events =
        vec![told(0, Outcome::Ok, good), told(1, Outcome::Ok, good), told(2, Outcome::ConnectFailed, None)];
    gateway.step(2_000, events);
    for id in 2..6 {
        let actions = gateway.ask(2_000, arrival(id));
        assert!(!probes(&actions).contains(&2), "request {id}: {actions:?}");
    }
}

/// A beginning that all sessions share draws nobody's requests to one replica: all gateways would look there.
#[test]
fn a_shared_beginning_does_not_gather_all_gateways_at_one_replica() {
    let entries: Vec<Entry> = (0..40).map(entry).collect();
    let mut to = [0; 40];
    for seed in 0..400 {
        let balancer = stilespan::Balancer::new(rules(), seed, START);
        let mut gateway = Gateway { balancer, now: START };
        gateway.step(0, vec![list(ListKind::Persisted, entries.clone())]);
        let ask = Arrival { prefix: Some(7), shared: 300, ..arrival(1) };
        for (_, k) in sends(&gateway.ask(1_000, ask)) {
            to[k as usize] += 1;
        }
    }
    assert_eq!(to.iter().sum::<usize>(), 400);
    assert!(to.iter().all(|&n| n <= 25), "10 each would be even: {to:?}");
}

/// Work that can wait leaves a zone whose replicas are slow as soon as work that can't: it weighs as much there.
#[rstest]
#[case::short_aim(0)]
#[case::long_aim(1)]
fn either_class_crosses_from_a_full_zone_at_the_same_gain(#[case] class: u32) {
    let mut set = Settings { cross_price: 0.1, ..probing() };
    set.classes[0].aim = Dur(400_000);
    set.classes[0].aim_per_1000 = Dur(60_000);
    set.classes.push(Class { aim: Dur(3_000_000), ..set.classes[0].clone() });
    let mut gateway = Gateway { balancer: stilespan::Balancer::new(set, 1, START), now: START };
    let far = Entry { zone: 1, ..entry(1) };
    gateway.step(0, vec![list(ListKind::Persisted, vec![entry(0), far])]);
    let mut sent = Vec::new();
    let mut actions = gateway.ask(1_000, Arrival { class, prompt: 2_000, ..arrival(1) });
    for _ in 0..100 {
        sent.extend(sends(&actions).iter().map(|s| s.1));
        let report = |k| if k == 0 { [0.0, 1.0, 0.6, 0.5] } else { [0.0, 4.0, 0.1, 0.1] };
        let answers = probes(&actions).into_iter().map(|k| told(k, Outcome::Ok, Some(report(k))));
        let events = answers.chain([Event::Timer { mark: 0 }]).collect();
        actions = gateway.step(2_000, events);
    }
    assert_eq!(sent, [1]);
}

/// Discovery fails all gateways' calls at the same moment: they come back spread, and ever fewer a second.
#[test]
fn calls_at_a_failing_discovery_are_spread_and_become_fewer() {
    let set = Settings { ask: true, ..rules() };
    let mut gateways: Vec<Gateway> = (0..u64::from(GATEWAYS))
        .map(|seed| Gateway { balancer: stilespan::Balancer::new(set.clone(), seed, START), now: START })
        .collect();
    let failed = || vec![list(ListKind::Error, Vec::new())];
    gateways.iter_mut().for_each(|g| drop(g.step(0, failed())));
    // calls in each 100 ms; every one fails at once
    let mut calls = [0; 200];
    for tick in 0..2_000 {
        for gateway in &mut gateways {
            let watches = |a: &[Action]| a.iter().filter(|a| **a == Action::Watch).count();
            let asked = watches(&gateway.step(10_000, vec![Event::Timer { mark: 0 }]));
            calls[tick / 10] += asked;
            if asked > 0 {
                gateway.step(0, failed());
            }
        }
    }
    let most = calls.iter().max().unwrap();
    assert!(*most <= 40, "{most} calls within 100 ms");
    let late: usize = calls[100..].iter().sum();
    // each asks again within half of the time after which it counts as told
    assert!((200..=400).contains(&late), "{late} calls in the last 10 s");
}
