//! Call attempts: the rules for each send, what its outcome tells, and whether there is another.

use super::*;

/// A first token is overdue at this multiple of its prediction: a healthy fit errs by less.
const OVERDUE: f64 = 2.0;
/// Part of the answers with a limit of their own that come to it.
const TAIL: f64 = 0.1;
/// The most a step can be beside the mean, as limits are reached by half or more; pauses widen the tail too.
const REACH: f64 = 2.0;
/// A replica whose steps take this part of the pace counts as full: streams tell of it seconds later.
const FULL: f64 = 0.7;

impl Balancer {
    /// Rules 2 to 4 for a send of this request to this replica.
    pub(super) fn allowed(&self, id: RequestId, k: usize) -> bool {
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
    pub(super) fn send(&mut self, id: RequestId, k: usize, out: &mut Vec<Action>) {
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

    pub(super) fn stop_waiting(&mut self, id: RequestId, trial: usize, k: usize, unread: f64) {
        let replica = &mut self.replicas[k];
        if let Some(at) = replica.waiting.iter().position(|w| w.0 == id && w.1 == trial) {
            replica.waiting.remove(at);
            replica.waiting_tokens = (replica.waiting_tokens - unread).max(0.0);
        }
    }

    pub(super) fn first(&mut self, id: RequestId, trial: usize, took: Dur) {
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

    pub(super) fn learn(&mut self, k: usize, tokens: f64, took: f64) {
        let replica = &mut self.replicas[k];
        let (kind, size) = (replica.entry.kind, replica.size());
        self.speeds.add(Sample { kind, size, tokens, took }, self.tokens, self.now);
        replica.fit.add(tokens, took, NEW);
        let prior = self.speeds.of(kind, size, self.now);
        replica.line = (replica.fit.line(prior, self.tokens), self.now);
        (replica.seen, replica.failures) = (true, 0);
    }

    pub(super) fn ended(&mut self, event: &Event, out: &mut Vec<Action>) {
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
}
