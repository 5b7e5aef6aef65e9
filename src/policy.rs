//! Every decision of the router: the maturity and slack-budget dispatch of HFX (docs/design.md), and what it
//! needs around it. Settings, events, actions, ids and times are named in `src/interface.rs`. No I/O.

use std::collections::{BTreeSet, VecDeque};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rustc_hash::FxHashMap;

pub use crate::fit::{Fit, Line};
use crate::fit::{PRIOR, Steps};
use crate::interface::*;
use crate::memory::{Recent, Ring};
use crate::open::{Attempt, Phase, Request};
use crate::sight::{Means, Sight};

/// A first token is overdue at this multiple of its prediction: a healthy fit errs by less.
const OVERDUE: f64 = 2.0;
/// Part of the answers with a limit of their own that come to it.
const TAIL: f64 = 0.1;
/// The most a step can be beside the mean, as limits are reached by half or more; pauses widen the tail too.
const REACH: f64 = 2.0;
/// A replica's slowness beside the fleet fades so much later than the fleet's step.
const SLOW_FADE: f64 = 4.0;
/// Stream times fade over so many first-token aims, about as long as a stream runs.
const FADE: f64 = 4.0;
/// A replica whose steps take this part of the pace counts as full: streams tell of it seconds later.
const FULL: f64 = 0.7;
/// The part of first tokens missed that is overload; fewer misses cut what is let in by so much less.
const MANY: f64 = 0.5;
/// A flagged repeat's worth as a part: it has spent much of its aim on earlier tries. Guards against storms.
const REPEAT: f64 = 0.25;
/// Weight of a new sample in a running mean: about the last eight count.
const NEW: f64 = 1.0 / 8.0;
/// Price of a send that fails, as a part of the aim: it is sent again elsewhere, later.
const FAILING: f64 = 0.3;
/// Weight of the price of crossing zones: it is paid on every send, while time within the aim costs nothing.
const CROSSING: f64 = 4.0;
/// Held requests looked at in one release, and mature replicas compared for one request.
const SCAN: usize = 32;
const COMPARE: usize = 8;
/// Replicas whose load is asked for ahead of one request, and for how long of an aim that is awaited.
const ASK: usize = 3;
const ASK_PART: f64 = 1.0 / 16.0;
/// What was seen of a replica counts as its present state for so many aims.
const FRESH: f64 = 1.0;
/// What each gateway's call at discovery is given of the time over which they are spread after a failure.
const CALL: Dur = Dur(5_000);
/// Part of the cold share that is used; the rest is for chance and for gateways' unequal traffic.
const COLD_MARGIN: f64 = 0.5;

/// The delay until a replica matures again: prefill `tp`, and the steps of `td` that win it back, if they do.
pub fn delay(tp: f64, pace: f64, td: f64) -> Option<f64> {
    (pace > td).then(|| tp + tp / (pace - td) * td)
}

/// The largest budget x of tokens whose delay, plus a just arriving request's prefill `next`, keeps `aim`.
pub fn budget(line: Line, next: f64, aim: f64, pace: f64, td: f64) -> f64 {
    let tp = (aim - next) * (pace - td) / pace;
    if pace > td && tp > line.b { (tp - line.b) / line.a.max(1e-9) } else { 0.0 }
}

/// A replica as this gateway sees it.
#[derive(Default)]
struct Replica {
    entry: Entry,
    listed: bool,
    fit: Fit,
    line: (Line, Time),
    seen: bool,
    steps: Steps,
    maturity: Time,
    place: Option<usize>,
    waiting: VecDeque<(RequestId, usize, Time)>,
    waiting_tokens: f64,
    streams: Vec<u32>,
    in_flight: u32,
    idle: VecDeque<Time>,
    failures: u32,
    failing: f64,
    used: f64,
    sight: Sight,
}

impl Replica {
    fn usable(&self) -> bool {
        self.listed && self.entry.state == State::InService
    }

    /// Whether it has been heard of so lately.
    fn known(&self, now: Time, age: Dur) -> bool {
        self.sight.fresh(now, age) || (self.seen && now - self.line.1 < age)
    }

    /// Its size beside the others', as the list has it.
    fn size(&self) -> f64 {
        if self.entry.rating > 0.0 { self.entry.rating } else { 1.0 }
    }
}

/// What is let in. Under overload some must be turned away, early and the least worth first: `part` of the
/// arrivals are let in, those worth most for their work; it falls with first tokens missed and grows back.
struct Admission {
    part: f64,
    aim: f64,
    spacing: f64,
    missed: f64,
    last: Time,
    grown: Time,
    lately: [f64; 64],
    at: usize,
    shares: Vec<(f64, Time)>,
    models: FxHashMap<u32, Admission>,
}

impl Admission {
    fn new(set: &Settings, now: Time) -> Self {
        let shares = set.quotas.iter().map(|_| (0.0, now)).collect();
        let aim = set.classes.iter().map(|c| c.aim.secs()).fold(f64::INFINITY, f64::min).clamp(1e-3, 1e3);
        Admission {
            part: 1.0,
            aim,
            spacing: 0.1,
            missed: 0.0,
            last: now,
            grown: now,
            lately: [0.0; 64],
            at: 0,
            shares,
            models: FxHashMap::default(),
        }
    }

    /// That of one model's requests; tenants' shares stand with that of any model. Guards against a model
    /// whose servers fail, and whose misses would shed what others serve.
    fn of(&mut self, model: u32, set: &Settings, now: Time) -> &mut Admission {
        if model == 0 { self } else { self.models.entry(model).or_insert_with(|| Admission::new(set, now)) }
    }

    /// What a tenant's next request is worth: whole within its share of this gateway, less beyond.
    fn share_worth(&mut self, set: &Settings, tenant: usize, now: Time) -> f64 {
        let Some((credit, at)) = self.shares.get_mut(tenant) else { return 1.0 };
        let rate = set.quotas[tenant] / f64::from(set.instances);
        let aim = set.classes.iter().map(|c| c.aim.secs()).fold(0.0, f64::max);
        (*credit, *at) = ((*credit + rate * (now - *at).secs()).min((rate * aim).max(1.0)), now);
        let within = *credit >= 1.0;
        *credit -= f64::from(u8::from(within));
        if within { 1.0 } else { set.over_share_worth }
    }

    /// Whether a request of this worth for its work is among the part admitted, beside the latest arrivals.
    /// Equals are told apart by `luck`, or all of them would be in or out together.
    fn admits(&mut self, value: f64, luck: f64, now: Time) -> bool {
        self.grow(now);
        self.lately[self.at % 64] = value;
        self.at += 1;
        let seen = &self.lately[..self.at.min(64)];
        let count = |f: fn(&f64, &f64) -> bool| seen.iter().filter(|v| f(v, &value)).count() as f64;
        count(f64::gt) + luck * count(f64::eq) < self.part * seen.len() as f64
    }

    /// Grows back with time, not with outcomes: few admitted would mean few to grow by. By half in 16 aims at
    /// least: streams admitted tell of their pace only at their end, several aims later.
    fn grow(&mut self, now: Time) {
        let passed = (now - self.grown).secs() / self.aim;
        self.grown = now;
        self.part = (self.part + passed / 16.0 * self.part.max(0.5)).min(1.0);
    }

    /// How long until all are let in again, at the pace at which the part grows.
    fn back_in(&mut self, now: Time) -> Dur {
        self.grow(now);
        Dur::from_secs((1.0 - self.part) * 16.0 * self.aim)
    }

    /// Takes in a first token in time, or missed. A miss weighs by the outcomes' spacing, so that an aim's
    /// time of misses cuts the part alike at any rate.
    fn outcome(&mut self, in_time: bool, now: Time) {
        self.grow(now);
        let passed = (now - self.last).secs() / self.aim;
        self.last = now;
        self.spacing += (passed.min(1.0) - self.spacing) * NEW / 4.0;
        self.missed += (f64::from(u8::from(!in_time)) - self.missed) * NEW / 4.0;
        if !in_time {
            // guards against single misses, of one failing replica, that turn away a third of what comes
            let cut = 2.0 * self.spacing * (self.missed / MANY).min(1.0);
            self.part = (self.part * (1.0 - cut)).max(1.0 / 64.0);
        }
    }
}

/// The balancer of one gateway.
pub struct Balancer {
    set: Settings,
    rng: StdRng,
    now: Time,
    replicas: Vec<Replica>,
    index: FxHashMap<ReplicaId, usize>,
    ring: Ring,
    mature: Vec<usize>,
    later: BTreeSet<(Time, usize)>,
    requests: FxHashMap<RequestId, Request>,
    queue: BTreeSet<(Time, RequestId)>,
    held: Vec<u32>,
    used: Vec<usize>,
    fleet: Fit,
    start: Line,
    prior: Line,
    prior_at: Time,
    tokens: f64,
    pace: f64,
    fade: f64,
    sessions: Recent<u64, (ReplicaId, u32)>,
    prefixes: Recent<(u64, ReplicaId), ()>,
    trust: [f64; 4],
    caps: Vec<u32>,
    answer: f64,
    reach: f64,
    steps: Steps,
    admission: Admission,
    size: f64,
    means: Means,
    all_warm: Time,
    ask_at: Option<Time>,
    ask_failures: u32,
    timer: Option<Time>,
}

impl Balancer {
    /// A balancer that knows nothing yet.
    pub fn new(set: Settings, seed: u64, now: Time) -> Balancer {
        let mut rng = StdRng::seed_from_u64(seed);
        let pace = set.classes.iter().map(|c| c.pace.secs()).fold(f64::INFINITY, f64::min);
        let per_1000 = set.classes.iter().map(|c| c.aim_per_1000.secs()).fold(0.0, f64::max);
        // the aims allow for reading, so their part per token is a first guess of its cost; a step is a pace,
        // and far within the aim where none is told
        let admission = Admission::new(&set, now);
        let b = pace.min(admission.aim / 8.0);
        let start = Line { a: per_1000.max(b / 8.0) / 1000.0, b };
        // spread over a quarter of the time allowed, so that gateways that start together don't call together
        let ask_at = set.ask.then(|| now + Dur(rng.random_range(0..=set.must_ask_in.0 / 4)));
        Balancer {
            rng,
            now,
            replicas: Vec::new(),
            index: FxHashMap::default(),
            ring: Ring::default(),
            mature: Vec::new(),
            later: BTreeSet::new(),
            requests: FxHashMap::default(),
            queue: BTreeSet::new(),
            held: vec![0; set.classes.len()],
            used: Vec::new(),
            fleet: Fit::default(),
            start,
            prior: start,
            prior_at: now,
            tokens: 1000.0,
            pace,
            fade: FADE * admission.aim,
            sessions: Recent::default(),
            prefixes: Recent::default(),
            trust: [0.0, 1.0, 1.0, 1.0],
            caps: vec![0; set.classes.len()],
            answer: 100.0,
            reach: 1.0,
            steps: Steps::default(),
            admission,
            size: 1.0,
            means: Means::default(),
            all_warm: now,
            ask_at,
            ask_failures: 0,
            timer: None,
            set,
        }
    }

    /// Replicas that it keeps anything of, listed or not.
    pub fn remembered(&self) -> usize {
        self.replicas.len()
    }

    /// Listed replicas that it avoids now: those not in service, and those put off after failures.
    pub fn avoided(&self) -> usize {
        let listed = self.replicas.iter().filter(|r| r.listed && r.entry.state != State::Terminated);
        listed.filter(|r| !r.usable() || (r.failures > 0 && r.maturity > self.now)).count()
    }

    /// Takes in all events of a batch, then releases what can go.
    pub fn step(&mut self, now: Time, events: &[Event], out: &mut Vec<Action>) {
        self.now = now;
        for event in events {
            self.take(event, out);
        }
        if self.ask_at.take_if(|at| *at <= now).is_some() {
            out.push(Action::Watch);
        }
        self.release(out);
        self.wake(out);
    }

    fn take(&mut self, event: &Event, out: &mut Vec<Action>) {
        match event {
            Event::Members { kind, entries } => self.members(*kind, entries, out),
            Event::Request(arrival) => self.arrive(*arrival, out),
            Event::First { request, trial, took } => self.first(*request, *trial as usize, *took),
            Event::Gone { request } => self.gone(*request),
            Event::Ended { .. } => self.ended(event, out),
            Event::Timer { .. } => self.timer = self.timer.filter(|&t| t > self.now),
            &Event::Probed { replica, outcome, report, .. } => self.probed(replica, outcome, report),
            Event::Peer { .. } => {}
        }
    }

    fn members(&mut self, kind: ListKind, entries: &[Entry], out: &mut Vec<Action>) {
        if kind == ListKind::Error {
            // a call failed or the watch broke: ask again, soon at first, ever later, never in step
            self.ask_failures = (self.ask_failures + 1).min(5);
            // guards against all gateways' calls within one moment, at a service that is late already
            let least = (self.set.must_ask_in.0 / 64).max(CALL.0 * u64::from(self.set.instances));
            let most = (least << self.ask_failures).min(self.set.must_ask_in.0 / 2);
            self.ask_at = self.set.ask.then(|| self.now + Dur(self.rng.random_range(most / 2..=most)));
            return;
        }
        self.ask_failures = 0;
        if kind != ListKind::Partial {
            for replica in &mut self.replicas {
                replica.listed = false;
            }
        }
        // those known first: a new one may take the place of one that is no longer listed
        let (known, new): (Vec<_>, Vec<_>) =
            entries.iter().partition(|e| self.index.contains_key(&e.replica));
        for entry in known.into_iter().chain(new) {
            self.member(entry);
        }
        self.mature.clear();
        self.later.clear();
        for k in 0..self.replicas.len() {
            self.replicas[k].place = None;
            self.place(k);
        }
        let usable = || self.replicas.iter().enumerate().filter(|(_, r)| r.usable());
        self.ring = Ring::new(usable().map(|(k, r)| (k, r.entry.replica.0)));
        self.size = usable().map(|(_, r)| r.size()).sum::<f64>() / usable().count().max(1) as f64;
        let started = usable().map(|(_, r)| r.entry.started).filter(|t| t.0 > 0).max();
        self.all_warm = started.map_or(self.now, |t| t + self.set.warm_after);
        // guards against waiting for a model that has left the list: another may still be in time
        let held: Vec<RequestId> = self.queue.iter().map(|q| q.1).collect();
        for id in held {
            if !self.served(id) {
                self.end(id, out);
            }
        }
    }

    /// Whether a request can be had somewhere: at a warm replica with its model, or at the cold one that it
    /// has a turn at. Guards against one kept waiting for nothing. Before a list has come any is taken to be.
    fn served(&self, id: RequestId) -> bool {
        let Some(request) = self.requests.get(&id) else { return false };
        let model = request.arrival.model;
        let has = |r: &Replica| r.usable() && r.entry.models.ready_in(model).is_some();
        let mut some = (0..self.replicas.len()).filter(|&k| has(&self.replicas[k]));
        (model == 0 && self.replicas.is_empty()) || some.any(|k| !self.cold(k) || request.turn == Some(k))
    }

    fn member(&mut self, entry: &Entry) {
        let known = self.index.get(&entry.replica).copied();
        let k = known.unwrap_or_else(|| self.spare());
        self.index.insert(entry.replica, k);
        if known.is_some() {
            let lived_on = self.replicas[k].entry.started == entry.started;
            self.replicas[k].entry = entry.clone();
            self.replicas[k].listed = true;
            if lived_on {
                return;
            }
        }
        let maturities = self.replicas.iter().filter(|r| r.usable()).map(|r| (r.maturity - self.now).0);
        let (sum, n) = maturities.fold((0, 0), |(s, n), m| (s + m, n + 1));
        let fresh = Replica {
            entry: entry.clone(),
            listed: true,
            line: (self.prior, self.now),
            maturity: self.now + Dur(sum / n.max(1)),
            streams: vec![0; self.set.classes.len()],
            ..Replica::default()
        };
        if k == self.replicas.len() {
            self.replicas.push(fresh);
        } else {
            let old = std::mem::replace(&mut self.replicas[k], fresh);
            let new = &mut self.replicas[k];
            (new.waiting, new.waiting_tokens) = (old.waiting, old.waiting_tokens);
            (new.streams, new.in_flight) = (old.streams, old.in_flight);
        }
    }

    /// A place for a new replica. Guards against memory that grows with every replica there ever was: a place
    /// is taken again once its replica is gone and no attempt on it is remembered.
    fn spare(&mut self) -> usize {
        let tried = |k| self.requests.values().any(|r| r.attempts.iter().any(|a| a.replica == k));
        let gone = |r: &Replica| !r.listed || r.entry.state == State::Terminated;
        let spare = (0..self.replicas.len()).find(|&k| gone(&self.replicas[k]) && !tried(k));
        if let Some(k) = spare {
            self.index.remove(&self.replicas[k].entry.replica);
        }
        spare.unwrap_or(self.replicas.len())
    }

    /// Files a replica under the mature or by its maturity.
    fn place(&mut self, k: usize) {
        let maturity = self.replicas[k].maturity;
        if let Some(at) = self.replicas[k].place.take() {
            self.mature.swap_remove(at);
            if let Some(&moved) = self.mature.get(at) {
                self.replicas[moved].place = Some(at);
            }
        }
        if !self.replicas[k].usable() {
        } else if maturity <= self.now {
            self.replicas[k].place = Some(self.mature.len());
            self.mature.push(k);
        } else {
            self.later.insert((maturity, k));
        }
    }

    fn mature_at(&mut self, k: usize, at: Time) {
        self.later.remove(&(self.replicas[k].maturity, k));
        self.replicas[k].maturity = at;
        self.place(k);
    }

    fn promote(&mut self) {
        while let Some(&(at, k)) = self.later.first()
            && at <= self.now
        {
            self.later.pop_first();
            self.place(k);
        }
    }

    fn cold(&self, k: usize) -> bool {
        let started = self.replicas[k].entry.started;
        started.0 > 0 && self.now - started < self.set.warm_after
    }

    /// Present capacity as a part of the whole.
    fn capacity(&self, k: usize) -> f64 {
        let age = (self.now - self.replicas[k].entry.started).secs() / self.set.warm_after.secs().max(1e-3);
        let part = self.set.start_capacity + (1.0 - self.set.start_capacity) * age;
        if self.cold(k) { part } else { 1.0 }
    }

    /// The cold replica that a call attempt may go to, drawn anew for each: every replica is as likely as
    /// any, and a cold one is taken for the part of its turns that its capacity allows. So all gateways
    /// together send it that part of what a warm one is due, however little each of them sees. Nothing is
    /// saved up: guards against many gateways that each have a turn left and take it at once.
    fn turn(&mut self) -> Option<usize> {
        if self.now >= self.all_warm {
            return None;
        }
        let k = self.ring.any(self.rng.random())?;
        let size = self.replicas[k].size() / self.size;
        let part = COLD_MARGIN * self.set.fall_multiple * self.capacity(k) * size;
        (self.cold(k) && self.rng.random::<f64>() < part).then_some(k)
    }

    fn arrive(&mut self, arrival: Arrival, out: &mut Vec<Action>) {
        let class = (arrival.class as usize).min(self.set.classes.len().saturating_sub(1));
        let arrival = Arrival { class: class as u32, ..arrival };
        let Some(c) = self.set.classes.get(class) else { return };
        let stretch = c.aim.0 + (c.aim_stretch * arrival.hint.0 as f64) as u64;
        let aim = Dur(stretch.min(c.deadline.0) + c.aim_per_1000.0 * u64::from(arrival.prompt) / 1000);
        let due = (self.now + aim).min(arrival.valid_until);
        let expires = if c.late_worth > 0.0 { arrival.valid_until } else { due };
        // a session's next turn is cheap where its prompt is kept, and so shed last
        let last = self.last_turn(&arrival);
        let place = last.or(self.home(&arrival)).unwrap_or(usize::MAX);
        let work = 1.0 + self.unread(&arrival, place) / self.tokens.max(1.0);
        let worth = if arrival.repeat { REPEAT } else { 1.0 } * c.worth;
        let worth = worth * self.admission.share_worth(&self.set, arrival.tenant as usize, self.now);
        let turn = self.turn();
        let request = Request::new(arrival, (due, expires), turn, self.now);
        self.requests.insert(arrival.request, request);
        self.hold(arrival.request);
        let admission = self.admission.of(arrival.model, &self.set, self.now);
        let admitted = admission.admits(worth / work, self.rng.random(), self.now);
        if !admitted || !self.served(arrival.request) {
            self.end(arrival.request, out);
        }
    }

    fn hold(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else { return };
        if self.queue.insert((request.due, id)) {
            self.held[request.arrival.class as usize] += 1;
        }
    }

    fn unhold(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else { return };
        if self.queue.remove(&(request.due, id)) {
            self.held[request.arrival.class as usize] -= 1;
        }
    }

    /// The one place where a request ends.
    fn end(&mut self, id: RequestId, out: &mut Vec<Action>) {
        self.unhold(id);
        let Some(request) = self.requests.get_mut(&id) else { return };
        if std::mem::replace(&mut request.owed, false) {
            let class = &self.set.classes[request.arrival.class as usize];
            let harmless = match class.effect {
                Effect::Safe => true,
                Effect::Keyed => class.group == Group::All || request.may_have_run().is_none(),
                Effect::Unsafe => request.may_have_run().is_none(),
            };
            let retry_in = self
                .set
                .retry_after
                .then(|| self.admission.of(request.arrival.model, &self.set, self.now).back_in(self.now));
            let retry_in = retry_in.map(|d| d.min(self.set.max_retry_after)).filter(|d| d.0 > 0);
            let refuse = Action::Refuse { request: id, retry_in };
            out.push(if harmless { refuse } else { Action::Fail { request: id } });
            if self.set.cancel {
                let open = request.attempts.iter().enumerate().filter(|(_, a)| a.phase == Phase::Waiting);
                out.extend(open.map(|(k, _)| Action::Cancel { request: id, trial: k as u32 }));
            }
        }
        self.forget(id);
    }

    fn forget(&mut self, id: RequestId) {
        if self.requests.get(&id).is_some_and(|r| !r.owed && !r.in_flight()) {
            self.requests.remove(&id);
        }
    }

    fn gone(&mut self, id: RequestId) {
        self.unhold(id);
        self.requests.entry(id).and_modify(|r| r.owed = false);
        self.forget(id);
    }

    /// Prompt tokens that a replica is likely to read for this request.
    fn unread(&self, arrival: &Arrival, k: usize) -> f64 {
        self.left_to_read(arrival, self.belief(arrival, k))
    }

    fn left_to_read(&self, arrival: &Arrival, (kind, tokens): (usize, f64)) -> f64 {
        (f64::from(arrival.prompt) - self.trust[kind] * tokens).max(1.0)
    }

    /// What a replica may keep of a prompt, with the kind of reason: 0 another gateway may have sent the
    /// prefix there, 1 this one did, 2 others send the session's turns to its home, 3 this one sent the last
    /// turn there.
    fn belief(&self, arrival: &Arrival, k: usize) -> (usize, f64) {
        let id = self.replicas.get(k).map(|r| r.entry.replica);
        let sent = arrival.prefix.zip(id).is_some_and(|at| self.prefixes.get(&at).is_some());
        let prefix = (usize::from(sent), f64::from(arrival.shared));
        let session = match arrival.session.and_then(|s| self.sessions.get(&s)) {
            Some((at, tokens)) if Some(at) == id => (3, f64::from(tokens.min(arrival.prompt))),
            None if self.home(arrival) == Some(k) => (2, f64::from(arrival.prompt)),
            _ => return prefix,
        };
        if self.trust[session.0] * session.1 > self.trust[prefix.0] * prefix.1 { session } else { prefix }
    }

    /// The replica where a session is at home, the same at every gateway with the same list: the
    /// next one on the ring that has the model.
    fn home(&self, arrival: &Arrival) -> Option<usize> {
        let has = |k: usize| self.replicas[k].entry.models.ready_in(arrival.model).is_some();
        self.ring.home(arrival.session?, has)
    }

    /// The least of a figure over the classes with requests among these counts.
    fn strictest(&self, counts: &[u32], of: fn(&Class) -> Dur) -> f64 {
        let some = counts.iter().zip(&self.set.classes).filter(|(n, _)| **n > 0);
        some.map(|(_, c)| of(c).secs()).fold(f64::INFINITY, f64::min)
    }

    /// The strictest pace of our requests on a replica, else of those held.
    fn pace_on(&self, k: usize) -> f64 {
        let running = self.strictest(&self.replicas[k].streams, |c| c.pace);
        if running.is_finite() {
            running
        } else {
            self.strictest(&self.held, |c| c.pace).min(self.pace * 1e3)
        }
    }

    /// Td: the time of a replica's decode step.
    fn td_on(&self, k: usize) -> f64 {
        (self.reach * self.fleet_step() * self.slowness(k)).max(self.pace / 2.0)
    }

    /// How slow a replica's steps are beside the fleet's; kept longer, as kinds don't change.
    fn slowness(&self, k: usize) -> f64 {
        let weight = self.answer * self.fleet_step();
        self.replicas[k].steps.at(self.now, SLOW_FADE * self.fade).step(1.0, weight)
    }

    fn fleet_step(&self) -> f64 {
        self.steps.at(self.now, self.fade).step(self.pace / 2.0 / self.reach, PRIOR * self.answer)
    }

    /// The fleet's fit as it stands. Without new first tokens it goes back to where it began: guards against
    /// a fit beyond every aim, which lets nothing out that could mend it.
    fn prior(&self) -> Line {
        self.prior.towards(self.start, (self.now - self.prior_at).secs() / self.fade)
    }

    fn line_on(&self, k: usize) -> Line {
        let (line, at) = self.replicas[k].line;
        let slow = self.replicas[k].sight.slowness(&self.means, self.now, SLOW_FADE * self.fade);
        // guards against a replica new to this gateway that stands as all do, whatever its report has told
        let age = if self.replicas[k].seen { (self.now - at).secs() / self.fade } else { f64::INFINITY };
        line.towards(self.prior().times(slow), age)
    }

    fn budget_of(&self, k: usize) -> f64 {
        let aim = self.strictest(&self.held, |c| c.aim);
        let line = self.line_on(k);
        budget(line, line.at(self.tokens), aim, self.pace_on(k), self.td_on(k))
    }

    /// Sends the most urgent requests that fit to mature replicas, then sets their next maturity.
    fn release(&mut self, out: &mut Vec<Action>) {
        self.promote();
        while let Some(&(due, id)) = self.queue.first()
            && self.hopeless(due, id)
        {
            self.unhold(id);
            match self.requests.get_mut(&id) {
                // late but still worth something: it waits behind those that can be in time
                Some(request) if request.due < request.expires => request.due = request.expires,
                request => {
                    let model = request.map_or(0, |r| r.arrival.model);
                    self.admission.of(model, &self.set, self.now).outcome(false, self.now);
                    self.end(id, out);
                    continue;
                }
            }
            self.hold(id);
        }
        let mut after = (Time(0), RequestId(0));
        for _ in 0..SCAN {
            let Some(&next) = self.queue.range(after..).next() else { break };
            if self.mature.is_empty() {
                break;
            }
            after = (next.0, RequestId(next.1.0.saturating_add(1)));
            if let Some(k) = self.pick(next.1, out) {
                self.send(next.1, k, out);
            }
        }
        for k in std::mem::take(&mut self.used) {
            let replica = &mut self.replicas[k];
            let tokens = std::mem::take(&mut replica.used);
            let line = self.line_on(k);
            // first tokens also wait for others' reading, which costs this replica's answers nothing more:
            // beside its tokens a batch costs them a step
            let td = self.td_on(k);
            let wait = delay(line.a * tokens + line.b.min(td), self.pace_on(k), td);
            // where steps win nothing back the replica waits until our streams on it end
            let at = wait.map_or(self.now + self.set.warm_after, |w| self.now + Dur::from_secs(w));
            self.mature_at(k, at);
        }
    }

    /// Whether a held request can no longer have its first token in time, as first tokens come at present,
    /// where its prompt isn't kept nor where it is likely to be. Guards against a session's long prompt that
    /// is refused at once though its replica has little of it left to read.
    fn hopeless(&self, due: Time, id: RequestId) -> bool {
        let Some(arrival) = self.requests.get(&id).map(|r| &r.arrival) else { return true };
        let late = |time: f64| self.now + Dur::from_secs(time) > due;
        let places = self.places(arrival).into_iter().flatten().filter(|&k| self.replicas[k].usable());
        late(self.prior().at(self.unread(arrival, usize::MAX)))
            && places.map(|k| self.line_on(k).at(self.unread(arrival, k))).all(late)
    }

    /// The replica of a session's last turn, where that is known.
    fn last_turn(&self, arrival: &Arrival) -> Option<usize> {
        let (last, _) = self.sessions.get(&arrival.session?)?;
        self.index.get(&last).copied()
    }

    /// Where a prompt is likely to be kept: at the last turn's replica and at the session's home. A shared
    /// beginning is soon kept everywhere, and has no home: guards against one replica at which every gateway
    /// looks for it.
    fn places(&self, arrival: &Arrival) -> [Option<usize>; 2] {
        [self.last_turn(arrival), self.home(arrival)]
    }

    /// The mature replica for a request: ties go to the least predicted first-token time, which counts what a
    /// replica is likely to keep of the prompt and what its load report told; then at random.
    fn pick(&mut self, id: RequestId, out: &mut Vec<Action>) -> Option<usize> {
        let request = self.requests.get(&id)?;
        let (arrival, left) = (request.arrival, (request.due - self.now).secs());
        let (choice, turn) = (request.choice.clone(), request.turn);
        // a turn at a cold replica is taken where that is in time at its present capacity
        if let Some(k) = turn.filter(|&k| self.replicas[k].place.is_some())
            && self.score(&arrival, k, left * self.capacity(k)).is_some()
            && self.allowed(id, k)
        {
            return Some(k);
        }
        let drawn = if choice.is_empty() { self.draw(&arrival) } else { choice };
        let mut scored: Vec<(f64, usize)> = Vec::with_capacity(COMPARE);
        for k in drawn {
            if let Some(score) = self.score(&arrival, k, left).filter(|_| self.allowed(id, k)) {
                scored.push((score * (1.0 + 1e-3 * self.rng.random::<f64>()), k));
            }
        }
        scored.sort_by(|a, b| a.0.total_cmp(&b.0));
        let best = if self.set.probes { self.ask(id, &scored, out) } else { scored.first().map(|s| s.1) };
        // a prompt may be kept where maturity comes a little later, sooner than it is read elsewhere
        best.filter(|&k| self.replicas[k].place.is_some())
    }

    /// Replicas to compare for a request: where its prompt may be kept, and mature ones at random.
    fn draw(&mut self, arrival: &Arrival) -> Vec<usize> {
        let mut drawn = Vec::with_capacity(COMPARE);
        let special = self.places(arrival);
        for n in 0..SCAN {
            let k = match special.get(n) {
                Some(&Some(k)) => k,
                Some(None) => continue,
                None if self.mature.len() + special.len() <= COMPARE => {
                    let Some(&k) = self.mature.get(n - special.len()) else { break };
                    k
                }
                None => self.mature[self.rng.random_range(0..self.mature.len())],
            };
            // replicas without the model are passed over at the cost of a draw
            let has = self.replicas[k].entry.models.ready_in(arrival.model).is_some();
            if has && !drawn.contains(&k) && self.replicas[k].usable() {
                drawn.push(k);
            }
            if drawn.len() == COMPARE {
                break;
            }
        }
        drawn
    }

    /// A request's predicted first-token time at a replica, with the prices as time; none where it can't be
    /// in time or nothing further is to go there now.
    fn score(&self, arrival: &Arrival, k: usize, left: f64) -> Option<f64> {
        let tokens = self.unread(arrival, k);
        let replica = &self.replicas[k];
        let load = replica.entry.models.ready_in(arrival.model)?;
        let overdue = replica.waiting.front().is_some_and(|w| w.2 < self.now);
        if overdue || (replica.used > 0.0 && replica.used + tokens > self.budget_of(k)) {
            return None;
        }
        let aim = self.set.classes[arrival.class as usize].aim.secs();
        // prices count as parts of the shortest aim: of crossing zones, of a connection where none is idle. A
        // class with more time pays no more: its work weighs as much on a full zone, at others' cost
        let away = replica.entry.zone != self.set.zone;
        let price = if away { CROSSING * self.set.cross_price } else { 0.0 };
        let idle = replica.idle.back().is_some_and(|&t| self.now - t < self.set.conn_idle);
        let price = price + if idle { 0.0 } else { self.set.handshake_price };
        let price = price + FAILING * replica.failing.max(replica.sight.errors);
        let wait = (replica.maturity - self.now).secs();
        let time = wait + load.secs() + self.line_on(k).at(tokens + replica.waiting_tokens);
        // guards against sending at the last moment what then times out: under overload most of it
        (time <= left).then_some(time + aim.min(self.admission.aim) * price)
    }

    /// The best replica once the best few have told their load: a report tells what all gateways together
    /// do to a replica, of which each by itself learns too little and too late. Those that have not
    /// answered within a part of the aim are left out, which also keeps a request from those that have gone
    /// without a word.
    fn ask(&mut self, id: RequestId, scored: &[(f64, usize)], out: &mut Vec<Action>) -> Option<usize> {
        let fresh = Dur::from_secs(FRESH * self.admission.aim);
        let request = self.requests.get_mut(&id)?;
        let scored = &scored[..scored.len().min(ASK)];
        if request.choice.is_empty() {
            (request.asked, request.rounds) = (self.now, request.rounds + 1);
            for &(_, k) in scored {
                request.choice.push(k);
                let replica = &mut self.replicas[k];
                if !replica.known(self.now, fresh) && !replica.sight.awaited(self.now) {
                    replica.sight.asked = self.now;
                    out.push(Action::Probe { replica: replica.entry.replica });
                }
            }
        }
        let known = |k: usize| self.replicas[k].known(self.now, fresh);
        let waited = self.now - request.asked >= Dur::from_secs(ASK_PART * self.admission.aim);
        if !waited && scored.iter().any(|s| !known(s.1)) {
            return None;
        }
        request.choice.clear();
        let last = scored.first().filter(|_| request.rounds > 1);
        scored.iter().find(|s| known(s.1)).or(last).map(|s| s.1)
    }

    fn probed(&mut self, replica: ReplicaId, outcome: Outcome, report: Option<Report>) {
        let Some(&k) = self.index.get(&replica) else { return };
        if outcome == Outcome::Ok {
            self.replicas[k].sight.take(report, &self.set.report, &mut self.means, self.now);
        } else {
            self.replicas[k].sight.asked = Time(0);
            self.fault(k, 0.0);
        }
    }

    /// Puts off the maturity of a replica that has failed: each failure in a row doubles the wait, from
    /// what it cost or the delay of one ordinary request.
    fn fault(&mut self, k: usize, waited: f64) {
        let least = self.prior.at(self.tokens);
        let replica = &mut self.replicas[k];
        replica.failures = (replica.failures + 1).min(6);
        let wait = least.max(waited) * f64::from(1 << replica.failures);
        let at = (self.now + Dur::from_secs(wait)).max(replica.maturity);
        self.mature_at(k, at);
    }

    /// Rules 2 to 4 for a send of this request to this replica.
    fn allowed(&self, id: RequestId, k: usize) -> bool {
        let Some(request) = self.requests.get(&id) else { return false };
        let class = &self.set.classes[request.arrival.class as usize];
        let replica = &self.replicas[k];
        let tries = request.tries() < self.set.max_attempts as usize;
        let alone = self.set.second_copies || !request.in_flight();
        let repeat = match (class.effect, request.may_have_run()) {
            (Effect::Safe, _) | (_, None) => true,
            (Effect::Unsafe, Some(_)) => false,
            (Effect::Keyed, Some(first)) => {
                let there = &self.replicas[first.replica].entry;
                let same = match class.group {
                    Group::All => true,
                    Group::Zone => there.zone == replica.entry.zone,
                    Group::Cell => there.zone == replica.entry.zone && there.cell == replica.entry.cell,
                };
                same && self.now - first.sent < class.window
            }
        };
        let has = replica.usable() && replica.entry.models.ready_in(request.arrival.model).is_some();
        request.owed && tries && alone && repeat && has && (!self.cold(k) || request.turn == Some(k))
    }

    /// The one place where an attempt starts.
    fn send(&mut self, id: RequestId, k: usize, out: &mut Vec<Action>) {
        if !self.allowed(id, k) {
            return;
        }
        self.unhold(id);
        let Some(arrival) = self.requests.get(&id).map(|r| r.arrival) else { return };
        let belief = self.belief(&arrival, k);
        let unread = self.left_to_read(&arrival, belief);
        self.tokens += (unread - self.tokens) * NEW / 8.0;
        let line = self.line_on(k);
        let replica = &mut self.replicas[k];
        if replica.used == 0.0 {
            self.used.push(k);
        }
        replica.used += unread;
        let tokens = replica.waiting_tokens + unread;
        let load = replica.entry.models.ready_in(arrival.model).unwrap_or_default();
        let expected = self.now + Dur::from_secs(OVERDUE * line.at(tokens)) + load;
        let Some(request) = self.requests.get_mut(&id) else { return };
        replica.waiting.push_back((id, request.attempts.len(), expected));
        replica.waiting_tokens = tokens;
        replica.streams[arrival.class as usize] += 1;
        replica.in_flight += 1;
        replica.idle.pop_back();
        let give_up = (request.expires < arrival.valid_until).then(|| request.expires - self.now);
        let phase = Phase::Waiting;
        request.attempts.push(Attempt { replica: k, sent: self.now, tokens, unread, belief, load, phase });
        let id_of = replica.entry.replica;
        out.push(Action::Send { request: id, replica: id_of, give_up });
        if let Some(s) = arrival.session {
            self.sessions.put(s, (id_of, arrival.prompt));
        }
        if let Some(p) = arrival.prefix {
            self.prefixes.put((p, id_of), ());
        }
    }

    fn stop_waiting(&mut self, id: RequestId, trial: usize, k: usize, unread: f64) {
        let replica = &mut self.replicas[k];
        if let Some(at) = replica.waiting.iter().position(|w| w.0 == id && w.1 == trial) {
            replica.waiting.remove(at);
            replica.waiting_tokens = (replica.waiting_tokens - unread).max(0.0);
        }
    }

    fn first(&mut self, id: RequestId, trial: usize, took: Dur) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let pace = self.set.classes[request.arrival.class as usize].pace.secs();
        let model = request.arrival.model;
        let Some(attempt) = request.attempts.get_mut(trial) else { return };
        if attempt.phase != Phase::Waiting {
            return;
        }
        attempt.phase = Phase::Streaming(self.now);
        let Attempt { replica: k, tokens, unread, load, .. } = *attempt;
        self.stop_waiting(id, trial, k, unread);
        // guards against a fit that takes a model's load for reading
        if load.0 == 0 {
            self.learn(k, tokens, took.secs());
        }
        // where the fleet has slack a slow replica's lack of it is no reason to shed
        let td = self.td_on(k).min(self.reach * self.fleet_step());
        self.admission.of(model, &self.set, self.now).outcome(td <= FULL * pace, self.now);
    }

    fn learn(&mut self, k: usize, tokens: f64, took: f64) {
        self.fleet.add(tokens, took, NEW / 8.0);
        let start = Line { a: self.prior.a, ..self.start };
        (self.prior, self.prior_at) = (self.fleet.line(start, self.tokens), self.now);
        let replica = &mut self.replicas[k];
        replica.fit.add(tokens, took, NEW);
        replica.line = (replica.fit.line(self.prior, self.tokens), self.now);
        (replica.seen, replica.failures) = (true, 0);
    }

    fn ended(&mut self, event: &Event, out: &mut Vec<Action>) {
        let &Event::Ended { request: id, trial, outcome, took, kept, closed, .. } = event else { return };
        let trial = trial as usize;
        let Some(request) = self.requests.get_mut(&id) else { return };
        let arrival = request.arrival;
        request.owed &= !closed;
        let Some(attempt) = request.attempts.get_mut(trial) else { return };
        let Attempt { replica: k, phase, tokens, unread, belief, load, .. } = *attempt;
        if matches!(phase, Phase::Over { .. }) {
            return;
        }
        attempt.phase = Phase::Over { never_ran: outcome.never_ran() };
        self.stop_waiting(id, trial, k, unread);
        let replica = &mut self.replicas[k];
        replica.streams[arrival.class as usize] -= 1;
        replica.in_flight -= 1;
        if outcome == Outcome::Ok {
            replica.idle.push_back(self.now);
            if let Phase::Streaming(since) = phase {
                // a limit below its class's highest was set for this answer, which then comes near it;
                // others stop far earlier, and their times would make Td run low
                let class = arrival.class as usize;
                self.caps[class] = self.caps[class].max(arrival.cap);
                if arrival.cap < self.caps[class] {
                    let fleet = self.fleet_step();
                    let (time, cap) = ((self.now - since).secs(), f64::from(arrival.cap));
                    // answers reach their limits to different degrees; the value that all but one in
                    // 1/TAIL stay under is taken for a whole step
                    let up = time / cap / (fleet * self.slowness(k)) > self.reach;
                    let change = if up { 1.0 - TAIL } else { -TAIL } * NEW / 4.0;
                    self.reach = (self.reach * (1.0 + change)).min(REACH);
                    self.answer += (cap - self.answer) * NEW / 4.0;
                    self.replicas[k].steps.add(time, cap * fleet, self.now, SLOW_FADE * self.fade);
                    self.steps.add(time, cap, self.now, self.fade);
                }
            } else if load.0 == 0 {
                self.learn(k, tokens, took.secs());
            }
            // how far each kind of belief holds: copies go void, and are pushed out by others
            if let Some(kept) = kept.filter(|_| belief.1 > 0.0) {
                let part = (f64::from(kept) / belief.1).min(1.0);
                self.trust[belief.0] += (part - self.trust[belief.0]) * NEW / 8.0;
            }
        }
        let failed = !matches!(outcome, Outcome::Ok | Outcome::Cancelled | Outcome::Moot);
        let replica = &mut self.replicas[k];
        if !matches!(outcome, Outcome::Cancelled | Outcome::Moot) {
            replica.failing += (f64::from(u8::from(failed)) - replica.failing) * NEW;
        }
        if failed {
            // guards against a replica left out for as long as a stream had run that came back spoilt: only
            // time spent waiting for a first token tells of the replica
            let waited = if outcome == Outcome::Timeout { took.secs() } else { 0.0 };
            self.fault(k, waited);
        } else if replica.in_flight == 0 && replica.failures == 0 && replica.seen {
            self.mature_at(k, self.now);
        }
        let Some(request) = self.requests.get(&id) else { return };
        if request.owed && !request.in_flight() {
            let tries = request.tries() < self.set.max_attempts as usize;
            let safe = self.set.classes[arrival.class as usize].effect != Effect::Unsafe;
            if failed && tries && self.now < request.due && (safe || request.may_have_run().is_none()) {
                let turn = self.turn();
                self.requests.entry(id).and_modify(|r| (r.turn, r.rounds) = (turn, 0));
                self.hold(id);
                if !self.served(id) {
                    self.end(id, out);
                }
            } else {
                // guards against replicas that turn some away, while others have room: what is served
                // elsewhere in time is no miss, and no reason to shed
                if failed {
                    self.admission.of(arrival.model, &self.set, self.now).outcome(false, self.now);
                }
                self.end(id, out);
            }
        }
        self.forget(id);
    }

    /// Asks to be woken when the next thing falls due.
    fn wake(&mut self, out: &mut Vec<Action>) {
        let (head, later) = (self.queue.first(), self.later.first());
        let soon = Dur::from_secs((self.pace / 2.0).min(ASK_PART * self.admission.aim));
        let soon = head.filter(|_| !self.mature.is_empty()).map(|_| self.now + soon);
        let next = [self.ask_at, soon, head.map(|h| h.0), later.filter(|_| head.is_some()).map(|l| l.0)];
        let at = next.into_iter().flatten().min();
        let Some(at) = at.map(|t| t.max(self.now + self.set.period)) else { return };
        if self.timer.is_none_or(|t| t > at) {
            self.timer = Some(at);
            out.push(Action::Timer { at, mark: 0 });
        }
    }
}
