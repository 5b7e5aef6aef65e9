//! The state of the decision module, and the order in which a batch of events is handled. The
//! decisions themselves are in the modules beside this one.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rustc_hash::FxHashMap;

use super::admission::AdmissionControl;
use super::estimators::decode_steps::DecodeSteps;
use super::estimators::prefill_model::LinearModel;
use super::estimators::prefix_cache::PrefixCacheModel;
use super::estimators::replica_load::FleetLoadMeans;
use super::estimators::throughput::FleetThroughput;
use super::hash_ring::HashRing;
use super::in_flight::InFlightRequest;
use super::list_poll_timer::ListPollTimer;
use super::maturity_index::MaturityIndex;
use super::replica::ReplicaState;
use super::replica_table::{ReplicaIndex, ReplicaTable};
use super::request_queue::RequestQueue;
use crate::interface::{Action, Event, ReplicaId, RequestId, Settings, Timestamp};
use crate::lru::LruMap;

/// The time in which measurements decay to 1/e, in first-token objectives. Value: about as long as
/// a stream runs.
const DECAY_OBJECTIVES: f64 = 4.0;
/// Uncached prompt tokens of a typical request before the first one was sent. Value: a design
/// choice, soon replaced.
const INITIAL_TYPICAL_TOKENS: f64 = 1000.0;
/// The decode step assumed at the start where no token interval objective is set, as a fraction of
/// the shortest first-token objective. Value: a step has to be far within the objective.
const INITIAL_STEP_FRACTION: f64 = 1.0 / 8.0;

/// The last turn of a session that this router sent.
#[derive(Clone, Copy, Debug)]
pub(super) struct LastTurn {
    /// Where it was sent.
    pub(super) replica: ReplicaId,
    /// Tokens of its prompt.
    pub(super) prompt_tokens: u32,
}

/// The shared prefix of a prompt, and a replica that it was sent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct SentPrefix {
    /// The prefix's number.
    pub(super) prefix: u64,
    /// Where it was sent.
    pub(super) replica: ReplicaId,
}

/// The balancer of one router.
pub struct Balancer {
    /// The settings that the router started with.
    pub(super) settings: Settings,
    /// Every random draw comes from here.
    pub(super) rng: StdRng,
    /// The time of the batch being handled.
    pub(super) now: Timestamp,

    /// All replicas of which any state is kept, listed or not. Inserted by `membership`.
    pub(super) replicas: ReplicaTable,
    /// The index of each replica. Changed by `membership`.
    pub(super) replica_index: FxHashMap<ReplicaId, ReplicaIndex>,
    /// The replicas in service by weight. Rebuilt by `membership`.
    pub(super) ring: HashRing,
    /// From when on no replica is warming up. Changed by `membership`, read by `slow_start`.
    pub(super) all_warm_at: Timestamp,
    /// When the endpoint list is polled. Changed by `membership` and each step.
    pub(super) list_poll_timer: ListPollTimer,
    /// Which replicas take requests, and when the others will. Changed by `maturity`.
    pub(super) maturity: MaturityIndex,

    /// Requests that are not complete, or have attempts in flight. Inserted by `arrival`, removed
    /// by `completion`.
    pub(super) requests: FxHashMap<RequestId, InFlightRequest>,
    /// The requests that wait to be sent. Changed by `queue`.
    pub(super) queue: RequestQueue,
    /// Replicas that requests were sent to since `dispatch` last set their maturity.
    pub(super) dispatched_replicas: Vec<ReplicaIndex>,
    /// Admission control. Changed by `arrival` and, with outcomes, by `measurements`.
    pub(super) admission: AdmissionControl,

    /// Replicas of sessions' last turns. Changed by `attempts`, read by `cache_affinity`.
    pub(super) last_turns: LruMap<u64, LastTurn>,
    /// Requests in a row of each session that were not served. Changed by `session_fairness`.
    pub(super) session_rejections: LruMap<u64, u32>,
    /// Prefixes that were sent. Changed by `attempts`, read by `cache_affinity`.
    pub(super) sent_prefixes: LruMap<SentPrefix, ()>,
    /// How often prompts are found cached. Changed by `measurements`.
    pub(super) prefix_cache: PrefixCacheModel,
    /// First-token times of the fleet and of its kinds of machine. Changed by `measurements`.
    pub(super) throughput: FleetThroughput,
    /// The fleet's decode steps. Changed by `measurements`.
    pub(super) decode_steps: DecodeSteps,
    /// Means over load reports. Changed by `health_checks`.
    pub(super) fleet_load: FleetLoadMeans,
    /// Uncached prompt tokens of a typical request. Changed by `attempts`.
    pub(super) typical_tokens: f64,

    /// The shortest token interval objective of a class, in seconds.
    pub(super) shortest_token_interval: f64,
    /// Seconds in which a measurement decays to 1/e.
    pub(super) decay_seconds: f64,
    /// The timer that is set and has not fired. Changed by `timers`.
    pub(super) timer: Option<Timestamp>,
}

impl Balancer {
    /// A balancer without an endpoint list, requests or measurements.
    pub fn new(settings: Settings, seed: u64, now: Timestamp) -> Balancer {
        let mut rng = StdRng::seed_from_u64(seed);
        let shortest_token_interval = settings
            .classes
            .iter()
            .map(|class| class.token_interval_objective.as_secs_f64())
            .fold(f64::INFINITY, f64::min);
        let admission = AdmissionControl::new(&settings, now);
        let initial = initial_prefill_model(
            &settings,
            shortest_token_interval,
            admission.shortest_objective(),
        );
        let list_poll_timer = ListPollTimer::new(&settings, rng.random(), now);
        let decay_seconds = DECAY_OBJECTIVES * admission.shortest_objective();
        let classes = settings.classes.len();
        Balancer {
            rng,
            now,
            replicas: ReplicaTable::default(),
            replica_index: FxHashMap::default(),
            ring: HashRing::default(),
            all_warm_at: now,
            list_poll_timer,
            maturity: MaturityIndex::default(),
            requests: FxHashMap::default(),
            queue: RequestQueue::new(classes),
            dispatched_replicas: Vec::new(),
            admission,
            last_turns: LruMap::default(),
            session_rejections: LruMap::default(),
            sent_prefixes: LruMap::default(),
            prefix_cache: PrefixCacheModel::default(),
            throughput: FleetThroughput::new(initial, decay_seconds, now),
            decode_steps: DecodeSteps::new(classes, shortest_token_interval / 2.0, decay_seconds),
            fleet_load: FleetLoadMeans::default(),
            typical_tokens: INITIAL_TYPICAL_TOKENS,
            shortest_token_interval,
            decay_seconds,
            timer: None,
            settings,
        }
    }

    /// The number of replicas of which any state is kept, listed or not.
    pub fn tracked_replicas(&self) -> usize {
        self.replicas.len()
    }

    /// The number of listed replicas that get no requests now: those that are not in service, and
    /// those in a backoff after faults.
    pub fn unavailable_replicas(&self) -> usize {
        let is_unavailable = |replica: &&ReplicaState| {
            let in_backoff = replica.consecutive_failures > 0 && replica.maturity > self.now;
            replica.is_present() && (!replica.is_in_service() || in_backoff)
        };
        self.replicas.iter().filter(is_unavailable).count()
    }

    /// The fraction of arrivals that is admitted, from 0 to 1, as of the last one; the lowest of all
    /// models.
    pub fn admitted_fraction(&self) -> f64 {
        self.admission.lowest_admitted_fraction()
    }

    /// Handles a batch of events, then dispatches queued requests. Appends the actions to be
    /// carried out, in their order.
    pub fn step(&mut self, now: Timestamp, events: &[Event], actions: &mut Vec<Action>) {
        self.now = now;
        for event in events {
            self.handle_event(event, actions);
        }
        if self.list_poll_timer.take_due(now) {
            actions.push(Action::WatchEndpoints);
        }
        self.dispatch_queue(actions);
        self.schedule_timer(actions);
    }

    fn handle_event(&mut self, event: &Event, actions: &mut Vec<Action>) {
        match *event {
            Event::EndpointsUpdated { kind, ref entries } => {
                self.on_endpoints_updated(kind, entries, actions);
            }
            Event::RequestReceived(arrival) => self.on_request_received(arrival, actions),
            Event::FirstToken {
                request, attempt, ..
            } => {
                self.on_first_token(request, attempt as usize);
            }
            Event::ClientDisconnected { request } => self.on_client_disconnected(request),
            Event::AttemptEnded(end) => self.on_attempt_ended(end, actions),
            Event::TimerFired { .. } => self.on_timer_fired(),
            Event::HealthCheckEnded(end) => self.on_health_check_ended(end),
            Event::PeerMessage { .. } => {}
        }
    }
}

/// The prefill model before any measurement. Latency objectives allow for prefill, so their share
/// per token is a first estimate of its cost; the base is a decode step.
fn initial_prefill_model(
    settings: &Settings,
    shortest_token_interval: f64,
    objective: f64,
) -> LinearModel {
    let objective_per_1000 = settings
        .classes
        .iter()
        .map(|class| {
            class
                .first_token_objective_per_1000_prompt_tokens
                .as_secs_f64()
        })
        .fold(0.0, f64::max);
    let base_seconds = shortest_token_interval.min(objective * INITIAL_STEP_FRACTION);
    LinearModel {
        seconds_per_token: objective_per_1000.max(base_seconds / 8.0) / 1000.0,
        base_seconds,
    }
}
