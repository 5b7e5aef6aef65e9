//! The module's actor: mail in, events to the [`Balancer`], its actions carried out. It owns the RPC table,
//! the call attempts and all their timers, and decides nothing itself.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use rustc_hash::FxHashMap;
use tokio::sync::{mpsc, oneshot};
use tracing::{debug, info, trace, warn};

use super::naps::Naps;
use super::table::{Open, Out};
use super::{
    Answer, Attempt, AttemptId, Connector, Ending, Facts, Handle, Host, ListOrder, Load, MAILBOX, Mail,
    Maintenance, Order, Resolved, Rpc,
};
use crate::Balancer;
use crate::interface::{
    Action, Arrival, Dur, Entry, Event, ListKind, Outcome, ReplicaId, RequestId, Settings, State, Time,
};
use crate::ops::bans::{Ban, Bans};
use crate::ops::figures::Figures;

/// The module is told of an expiry so much earlier: its last answer still has to be written and to travel.
const GUARD: Dur = Dur(10_000);
/// Where it gave none by then, the actor's own goes out this long ahead of the client's expiry.
const LAST: Dur = Dur(3_000);
/// Mail taken in before a step at the most, so that a flood can't put the step off.
const GULP: usize = 512;
/// Operators' orders that wait for the actor at the most.
const ORDERS: usize = 16;
/// How often the figures of the fleet are told anew while there is something to decide.
const TELL: Duration = Duration::from_millis(100);

/// The machine's clock as the module reads it: Unix time that never runs backwards.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    unix: Duration,
    zero: Instant,
}

impl Clock {
    /// Reads the system's clock once; later readings go by the monotonic one.
    pub fn start() -> Clock {
        Clock { unix: SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default(), zero: Instant::now() }
    }

    /// An instant as the module's time.
    pub fn at(&self, instant: Instant) -> Time {
        Time((self.unix + instant.saturating_duration_since(self.zero)).as_micros() as u64)
    }

    /// The module's time as an instant.
    pub fn instant(&self, time: Time) -> Instant {
        self.zero + Duration::from_micros(time.0).saturating_sub(self.unix)
    }
}

/// What falls due.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    /// A timer of the module.
    Mark(u64),
    /// An attempt's time-out.
    Attempt(RequestId, u32),
    /// An RPC's expiry.
    Expiry(RequestId),
}

/// A host's subchannel.
struct Subchannel {
    address: String,
    started: Time,
    orders: mpsc::Sender<Order>,
}

/// What the actor is started with.
pub struct Parts {
    /// The settings.
    pub settings: Settings,
    /// The seed of the module's random numbers.
    pub seed: u64,
    /// The most RPCs open at once.
    pub max_open: usize,
    /// Makes subchannels.
    pub connector: Box<dyn Connector>,
    /// The list's actor.
    pub resolver: mpsc::Sender<ListOrder>,
    /// Bans that were in force before this process.
    pub bans: Vec<(ReplicaId, Ban)>,
    /// The figures of the fleet and of the RPCs.
    pub figures: Arc<Figures>,
}

/// An order that was carried out, and what to answer once the module has been told.
type Done = (oneshot::Sender<Option<Vec<Ban>>>, Option<Vec<Ban>>);

/// The module's actor.
pub struct Core {
    balancer: Balancer,
    clock: Clock,
    period: Duration,
    max_attempts: u32,
    max_open: usize,
    connector: Box<dyn Connector>,
    resolver: mpsc::Sender<ListOrder>,
    mail: mpsc::Receiver<Mail>,
    orders: mpsc::Receiver<Maintenance>,
    orders_to: mpsc::Sender<Maintenance>,
    done: Vec<Done>,
    bans: Bans,
    figures: Arc<Figures>,
    /// When the figures of the fleet were last told; none when they are to be told with the next step.
    told: Option<Instant>,
    naps: Naps,
    subchannels: FxHashMap<ReplicaId, Subchannel>,
    rpcs: FxHashMap<RequestId, Open>,
    load: Arc<Load>,
    last_id: u32,
    due: BinaryHeap<Reverse<(Time, Due)>>,
    events: Vec<Event>,
    actions: Vec<Action>,
}

impl Core {
    /// Makes an actor that knows no hosts yet, and its mailbox.
    pub fn new(parts: Parts) -> (Core, mpsc::Sender<Mail>) {
        let clock = Clock::start();
        let (mail_to, mail) = mpsc::channel(MAILBOX);
        let (orders_to, orders) = mpsc::channel(ORDERS);
        let core = Core {
            period: Duration::from_micros(parts.settings.period.0),
            max_attempts: parts.settings.max_attempts,
            max_open: parts.max_open,
            balancer: Balancer::new(parts.settings, parts.seed, clock.at(Instant::now())),
            clock,
            connector: parts.connector,
            resolver: parts.resolver,
            mail,
            orders,
            orders_to,
            done: Vec::new(),
            bans: Bans::new(parts.bans),
            figures: parts.figures,
            told: None,
            naps: Naps::new(Instant::now()),
            subchannels: FxHashMap::default(),
            rpcs: FxHashMap::default(),
            load: Arc::default(),
            last_id: 0,
            due: BinaryHeap::new(),
            events: Vec::new(),
            actions: Vec::new(),
        };
        (core, mail_to)
    }

    /// Starts the actor on this thread's runtime.
    pub fn start(parts: Parts) -> (Handle, mpsc::Sender<Mail>) {
        let (core, mail) = Core::new(parts);
        let handle =
            Handle::new(mail.clone(), core.orders_to.clone(), core.load.clone(), core.figures.clone());
        tokio::spawn(core.run());
        (handle, mail)
    }

    /// Runs until all senders of mail are gone.
    pub async fn run(mut self) {
        // the first step arms the module's own timers
        self.step(Instant::now());
        let mut stepped = Instant::now();
        loop {
            let next = self.due.peek().map(|Reverse((at, _))| self.clock.instant(*at));
            let beat = self.naps.next();
            let wake = tokio::time::sleep_until(next.map_or(beat, |next| next.min(beat)).into());
            tokio::select! {
                biased;
                Some(order) = self.orders.recv() => self.maintain(order),
                mail = self.mail.recv() => match mail {
                    Some(mail) => self.take(mail),
                    None => return,
                },
                () = wake => {}
            }
            // no oftener than the settings allow
            tokio::time::sleep_until((stepped + self.period).into()).await;
            while let Ok(order) = self.orders.try_recv() {
                self.maintain(order);
            }
            for _ in 0..GULP {
                let Ok(mail) = self.mail.try_recv() else { break };
                self.take(mail);
            }
            stepped = Instant::now();
            if let Some(nap) = self.naps.runs(stepped) {
                info!("away for {} ms: asking for the list before anything is sent", nap.as_millis());
                if self.resolver.try_send(ListOrder::Confirm).is_err() {
                    self.naps.told();
                }
            }
            self.fall_due(self.clock.at(stepped));
            if !self.events.is_empty() && !self.naps.holds(stepped) {
                self.step(stepped);
            }
            for (to, answer) in self.done.drain(..) {
                let _ = to.send(answer);
            }
        }
    }

    /// Carries an operator's order out: the module sees the server as the overlay has it from the next step on.
    fn maintain(&mut self, order: Maintenance) {
        let Maintenance { replica, name, leave_out, known, done } = order;
        if !known && !self.bans.knows(replica) {
            return self.done.push((done, None));
        }
        let at = Instant::now();
        let now = self.clock.at(at);
        let seen = match leave_out {
            true => self.bans.leave_out(replica, &name, now),
            false => self.bans.put_back(replica, now),
        };
        info!("{name}: {}", if leave_out { "left out" } else { "put back" });
        if let Some(entry) = seen {
            self.events.push(Event::Members { kind: ListKind::Partial, entries: Arc::new([entry]) });
        }
        if leave_out {
            self.take_back(replica, at);
        }
        self.told = None;
        self.done.push((done, Some(self.bans.kept())));
    }

    /// Takes back the call attempts at a server that have not begun: they never ran, and may go elsewhere.
    fn take_back(&mut self, replica: ReplicaId, at: Instant) {
        let waits = |out: &Out| out.replica == replica && !out.begun.load(Ordering::Relaxed);
        let here = self.rpcs.iter().filter(|(_, open)| open.out.as_ref().is_some_and(waits));
        let here: Vec<RequestId> = here.map(|(id, _)| *id).collect();
        for request in here {
            if let Some(out) = self.rpcs.get_mut(&request).and_then(|open| open.out.take()) {
                self.over(request, out, Outcome::ConnectFailed.into(), at);
                self.sweep(request);
            }
        }
    }

    fn take(&mut self, mail: Mail) {
        match mail {
            Mail::Submit(rpc, answer, id) => self.submit(rpc, answer, id),
            Mail::Gone(request) => self.gone(request),
            Mail::Resolved(resolved) => self.resolved(resolved),
            Mail::First(id, at, pieces) => {
                let Some(open) = self.rpcs.get_mut(&id.request) else { return };
                // an attempt that was called off meanwhile finds its pieces unwanted and stops
                let Some(out) = open.out.as_mut().filter(|o| o.trial == id.trial) else { return };
                let took = at.saturating_duration_since(out.since);
                let Some(answer) = open.answer.take() else { return };
                out.until = None;
                if open.live {
                    self.load.start(at.saturating_duration_since(open.received));
                }
                let _ = answer.send(Answer::Started(pieces));
                let took = Dur(took.as_micros() as u64);
                trace!(
                    "rpc {} attempt {} at {:x}: began after {} us",
                    id.request.0, id.trial, out.replica.0, took.0
                );
                self.events.push(Event::First { request: id.request, trial: id.trial, took });
            }
            Mail::Ended(id, at, ending) => self.ended(id, at, ending),
            Mail::Probed(replica, outcome, took, report) => {
                let took = Dur(took.as_micros() as u64);
                trace!("probe at {:x}: {outcome:?} after {} us, {report:?}", replica.0, took.0);
                self.events.push(Event::Probed { replica, outcome, took, report });
            }
        }
    }

    fn submit(&mut self, rpc: Rpc, answer: oneshot::Sender<Answer>, id_to: oneshot::Sender<RequestId>) {
        if self.rpcs.len() >= self.max_open {
            // as the platform does: what is beyond the settings' limit doesn't reach the module
            let _ = answer.send(Answer::Refused { retry_in: None, sent: false, attempts: 0 });
            return;
        }
        let request = loop {
            self.last_id = self.last_id.wrapping_add(1);
            if !self.rpcs.contains_key(&RequestId(self.last_id)) {
                break RequestId(self.last_id);
            }
        };
        let Facts { class, tenant, session, prefix, prompt, shared, cap, repeat, resumed, live, .. } =
            rpc.facts;
        let expires = self.clock.at(rpc.facts.received) + Dur(rpc.facts.patience.as_micros() as u64);
        let hint = Dur(rpc.facts.hint.as_micros() as u64);
        trace!("rpc {}: class {class}, {prompt} tokens, {:?}", request.0, rpc.facts.patience);
        let arrival = Arrival {
            request,
            class,
            tenant,
            session,
            prefix,
            prompt,
            shared,
            cap,
            hint,
            valid_until: Time(expires.0.saturating_sub(GUARD.0)),
            repeat,
            resumed,
            model: rpc.facts.model,
            spent: rpc.facts.spent,
        };
        let open = Open {
            answer: Some(answer),
            payload: rpc.payload,
            expires,
            received: rpc.facts.received,
            trials: 0,
            spent: rpc.facts.spent,
            sent: false,
            live,
            out: None,
        };
        self.rpcs.insert(request, open);
        if live {
            self.load.opened();
        }
        self.due.push(Reverse((Time(expires.0.saturating_sub(LAST.0)), Due::Expiry(request))));
        let _ = id_to.send(request);
        self.events.push(Event::Request(arrival));
    }

    fn gone(&mut self, request: RequestId) {
        let Some(open) = self.rpcs.get_mut(&request) else { return };
        trace!("rpc {}: its client has gone", request.0);
        open.answer = None;
        let out = open.out.take();
        self.events.push(Event::Gone { request });
        if let Some(out) = out {
            self.over(request, out, Outcome::Cancelled.into(), Instant::now());
        }
        self.sweep(request);
    }

    fn resolved(&mut self, mut resolved: Resolved) {
        debug!("resolver result: {:?}, {} hosts", resolved.kind, resolved.hosts.len());
        let entries = resolved.hosts.iter_mut().map(|host| &mut host.entry);
        self.bans.overlay(resolved.kind, entries, self.clock.at(Instant::now()));
        self.told = None;
        if matches!(resolved.kind, ListKind::Complete | ListKind::Error) {
            self.naps.told();
        }
        if resolved.kind != ListKind::Partial && resolved.kind != ListKind::Error {
            self.load.listed();
            // a subchannel whose mailbox is dropped finishes what it holds
            let named: Vec<ReplicaId> = resolved.hosts.iter().map(|h| h.entry.replica).collect();
            self.subchannels.retain(|id, _| named.contains(id));
        }
        for host in &resolved.hosts {
            self.host(host);
        }
        let entries: Arc<[Entry]> = resolved.hosts.into_iter().map(|h| h.entry).collect();
        self.events.push(Event::Members { kind: resolved.kind, entries });
    }

    fn host(&mut self, host: &Host) {
        let replica = host.entry.replica;
        if host.entry.state == State::Terminated {
            self.subchannels.remove(&replica);
            return;
        }
        if self.subchannels.get(&replica).is_none_or(|s| s.address != host.address) {
            let (address, started) = (host.address.clone(), host.entry.started);
            // guards against sends meant for a host that has gone unnoticed, and met by the new one in its place
            self.subchannels.retain(|_, s| s.address != address || s.started > started);
            let orders = self.connector.open(replica, host);
            self.subchannels.insert(replica, Subchannel { address, started, orders });
        }
    }

    fn ended(&mut self, id: AttemptId, at: Instant, ending: Ending) {
        let Some(open) = self.rpcs.get_mut(&id.request) else { return };
        // an attempt called off or timed out has had its outcome already
        let Some(out) = open.out.take_if(|o| o.trial == id.trial) else { return };
        self.over(id.request, out, ending, at);
        self.sweep(id.request);
    }

    /// An attempt has its outcome: exactly one each.
    fn over(&mut self, request: RequestId, out: Out, ending: Ending, at: Instant) {
        let Some(open) = self.rpcs.get_mut(&request) else { return };
        open.sent |= !matches!(ending.outcome, Outcome::ConnectFailed | Outcome::Moot);
        let took = Dur(at.saturating_duration_since(out.since).as_micros() as u64);
        let at = out.replica.0;
        trace!("rpc {} attempt {} at {at:x}: {:?} after {} us", request.0, out.trial, ending.outcome, took.0);
        let Ending { outcome, kept, report } = ending;
        let closed = open.answer.is_none();
        self.events.push(Event::Ended { request, trial: out.trial, outcome, took, kept, closed, report });
    }

    fn sweep(&mut self, request: RequestId) {
        if self.rpcs.get(&request).is_some_and(Open::over)
            && let Some(open) = self.rpcs.remove(&request)
            && open.live
        {
            self.load.closed();
        }
    }

    fn fall_due(&mut self, now: Time) {
        while let Some(Reverse((at, due))) = self.due.peek().copied()
            && at <= now
        {
            self.due.pop();
            match due {
                Due::Mark(mark) => self.events.push(Event::Timer { mark }),
                Due::Attempt(request, trial) => {
                    let Some(open) = self.rpcs.get_mut(&request) else { continue };
                    let overdue = |o: &mut Out| o.trial == trial && o.until.is_some();
                    let Some(out) = open.out.take_if(overdue) else { continue };
                    self.over(request, out, Outcome::Timeout.into(), Instant::now());
                    self.sweep(request);
                }
                Due::Expiry(request) => {
                    let Some(open) = self.rpcs.get_mut(&request) else { continue };
                    // guards against an RPC that is never answered; the module, which was told an earlier time,
                    // has mostly answered by now
                    let Some(answer) = open.answer.take() else { continue };
                    warn!("rpc {}: no answer from the module by its expiry", request.0);
                    let _ = answer.send(Answer::Failed {
                        sent: open.sent || open.out.is_some(),
                        attempts: open.trials,
                    });
                    self.gone(request);
                }
            }
        }
    }

    fn step(&mut self, at: Instant) {
        let now = self.clock.at(at);
        self.balancer.step(now, &self.events, &mut self.actions);
        self.events.clear();
        if self.told.is_none_or(|told| at.saturating_duration_since(told) >= TELL) {
            self.told = Some(at);
            self.figures.fleet(self.bans.listed(), self.balancer.avoided());
        }
        let mut actions = std::mem::take(&mut self.actions);
        for action in actions.drain(..) {
            self.carry_out(action, at, now);
        }
        self.actions = actions;
        if !self.events.is_empty() {
            // what came of carrying out (a moot send, a cancel) is told in the next step, soon
            self.due.push(Reverse((now + Dur(self.period.as_micros() as u64), Due::Mark(u64::MAX))));
        }
    }

    fn carry_out(&mut self, action: Action, at: Instant, now: Time) {
        match action {
            Action::Send { request, replica, give_up } => self.send(request, replica, give_up, at, now),
            Action::Cancel { request, trial } => {
                let Some(open) = self.rpcs.get_mut(&request) else { return };
                // an attempt that has begun to answer is not cancelled
                let waiting = |o: &mut Out| o.trial == trial && o.until.is_some();
                let Some(out) = open.out.take_if(waiting) else { return };
                self.over(request, out, Outcome::Cancelled.into(), at);
                self.sweep(request);
            }
            Action::Refuse { request, retry_in } => {
                let retry_in = retry_in.map(|d| Duration::from_micros(d.0));
                self.answer(request, |sent, attempts| Answer::Refused { retry_in, sent, attempts });
            }
            Action::Fail { request } => {
                self.answer(request, |sent, attempts| Answer::Failed { sent, attempts })
            }
            Action::Probe { replica } => {
                let sent = self.subchannels.get(&replica).map(|s| s.orders.try_send(Order::Probe).is_ok());
                if sent != Some(true) {
                    let (outcome, took) = (Outcome::ConnectFailed, Dur(0));
                    self.events.push(Event::Probed { replica, outcome, took, report: None });
                }
            }
            Action::Watch => {
                let _ = self.resolver.try_send(ListOrder::Watch);
            }
            Action::Timer { at, mark } => self.due.push(Reverse((at, Due::Mark(mark)))),
        }
    }

    fn answer(&mut self, request: RequestId, answer: impl FnOnce(bool, u32) -> Answer) {
        let Some(open) = self.rpcs.get_mut(&request) else { return };
        if let Some(to) = open.answer.take() {
            trace!("rpc {}: turned away after {} attempts", request.0, open.trials);
            if open.live {
                self.load.decline();
            }
            let _ = to.send(answer(open.sent, open.trials));
        }
        self.sweep(request);
    }

    fn send(&mut self, request: RequestId, replica: ReplicaId, give_up: Option<Dur>, at: Instant, now: Time) {
        let Some(open) = self.rpcs.get_mut(&request) else { return };
        let (trial, spent) = (open.trials, open.spent.saturating_add(open.trials));
        open.trials += 1;
        let (hold, called_off) = oneshot::channel();
        let expires = Time(open.expires.0.saturating_sub(GUARD.0));
        let until = give_up.map_or(expires, |d| (now + d).min(expires));
        let begun = Arc::<AtomicBool>::default();
        let out = Out { trial, replica, since: at, until: Some(until), begun: begun.clone(), _hold: hold };
        // guards against a second copy, an attempt too many and one that nobody waits for
        let moot = open.out.is_some() || open.answer.is_none() || spent >= self.max_attempts || until <= now;
        let payload = open.payload.clone();
        if moot {
            self.over(request, out, Outcome::Moot.into(), at);
            return;
        }
        open.out = Some(out);
        let deadline = self.clock.instant(until);
        let attempt = Attempt { id: AttemptId { request, trial }, payload, deadline, begun, called_off };
        let sent = self.subchannels.get(&replica).map(|s| s.orders.try_send(Order::Attempt(attempt)).is_ok());
        if sent == Some(true) {
            self.due.push(Reverse((until, Due::Attempt(request, trial))));
        } else if let Some(out) = open.out.take() {
            self.over(request, out, Outcome::ConnectFailed.into(), at);
        }
    }
}
