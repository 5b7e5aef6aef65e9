//! Many gateways, each a `Balancer` of its own with values for time; no replica is modelled,
//! answers come after a fixed time.

use stilespan::interface::*;

use super::*;

/// Gateways in the fleets of these tests.
pub const GATEWAYS: u32 = 100;

/// Many gateways, and what they sent: when, from which, and where to.
pub struct Fleet {
    pub gateways: Vec<Gateway>,
    pub open: Vec<(Timestamp, usize, u32)>,
    pub sent: Vec<(Timestamp, usize, u64)>,
    pub ended: usize,
    pub next: u32,
}

impl Fleet {
    pub fn new(settings: &Settings, entries: &[ReplicaEntry]) -> Fleet {
        Fleet::seeded(settings, entries, 0)
    }

    /// With seeds from this one on, one for each gateway.
    pub fn seeded(settings: &Settings, entries: &[ReplicaEntry], first: u64) -> Fleet {
        let gateway = |seed| {
            let balancer = stilespan::Balancer::new(settings.clone(), first + seed, START);
            let mut gateway = Gateway {
                balancer,
                now: START,
            };
            gateway.step(0, vec![list(EndpointListKind::Persisted, entries.to_vec())]);
            gateway
        };
        let gateways = (0..u64::from(settings.router_count)).map(gateway).collect();
        Fleet {
            gateways,
            open: Vec::new(),
            sent: Vec::new(),
            ended: 0,
            next: 0,
        }
    }

    /// One request for each gateway in turn, spread evenly over `span`; first tokens come after 50
    /// ms, answers end 200 ms later.
    pub fn round(&mut self, span: Span) {
        let start = self.gateways[0].now;
        for k in 0..self.gateways.len() {
            let now =
                start + Span::from_micros(span.as_micros() * k as u64 / self.gateways.len() as u64);
            self.settle(now);
            self.next += 1;
            let ask = Arrival {
                expires_at: now + Span::from_secs(5),
                ..arrival(self.next)
            };
            self.act(k, now, vec![Event::RequestReceived(ask)]);
        }
        let end = start + span;
        self.settle(end);
        for k in 0..self.gateways.len() {
            self.act(k, end, vec![Event::TimerFired { timer_id: 0 }]);
        }
    }

    pub fn settle(&mut self, now: Timestamp) {
        let (due, open) = self.open.iter().partition(|o| o.0 <= now);
        self.open = open;
        for (at, k, id) in due {
            let events = vec![first(id, 0, 50_000), ended(id, 0, Outcome::Completed, true)];
            self.act(k, at.max(self.gateways[k].now), events);
        }
    }

    pub fn act(&mut self, k: usize, now: Timestamp, events: Vec<Event>) {
        let after = now - self.gateways[k].now;
        for action in self.gateways[k].step(after.as_micros(), events) {
            match action {
                Action::StartAttempt {
                    request, replica, ..
                } => {
                    self.sent.push((now, k, replica.0));
                    self.open.push((now + Span::from_millis(250), k, request.0));
                }
                Action::Reject { .. } | Action::Fail { .. } => self.ended += 1,
                _ => {}
            }
        }
    }

    /// The most sends to one replica within any window.
    pub fn most(&self, window: Span, of: impl Fn(u64) -> bool) -> usize {
        let mut most = 0;
        for &(at, _, to) in self.sent.iter().filter(|s| of(s.2)) {
            let within =
                |s: &&(Timestamp, usize, u64)| s.2 == to && s.0 >= at && s.0 - at <= window;
            most = most.max(self.sent.iter().filter(within).count());
        }
        most
    }
}

/// Settings with the rule on cold replicas.
pub fn rules() -> Settings {
    Settings {
        router_count: GATEWAYS,
        overload_window: Span::from_millis(1_500),
        slow_start_floor: 0.3,
        slow_start_duration: Span::from_secs(9),
        ..settings()
    }
}

/// Settings with load reports.
pub fn probing() -> Settings {
    let report = vec![
        LoadReportField::ErrorsPerSecond,
        LoadReportField::ServedPerSecond,
        LoadReportField::Utilization,
        LoadReportField::Other,
    ];
    Settings {
        health_checks: true,
        load_report_fields: report,
        ..rules()
    }
}

pub fn probes(actions: &[Action]) -> Vec<u64> {
    let probe = |a: &Action| match a {
        Action::CheckHealth { replica } => Some(replica.0),
        _ => None,
    };
    actions.iter().filter_map(probe).collect()
}

pub fn told(replica: u64, outcome: Outcome, report: Option<LoadReport>) -> Event {
    Event::HealthCheckEnded(HealthCheckEnded {
        replica: ReplicaId(replica),
        outcome,
        elapsed: Span::from_millis(2),
        load_report: report,
    })
}

/// A load report of errors and served requests a second, and of the part of the slots in use.
pub fn load_report(errors: f32, served: f32, utilization: f32) -> LoadReport {
    LoadReport {
        errors_per_second: Some(errors),
        served_per_second: Some(served),
        utilization: Some(utilization),
        ..LoadReport::default()
    }
}
