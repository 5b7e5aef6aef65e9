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
use super::replica_table::{ReplicaIndex, ReplicaTable};
use super::request_queue::RequestQueue;
use crate::interface::{Action, Event, ReplicaId, RequestId, Settings, Timestamp};
use crate::lru::LruMap;

/// What is measured decays to a part of 1/e over so many first-token objectives. Value: about as
/// long as a stream runs.
const DECAY_OBJECTIVES: f64 = 4.0;
/// Uncached prompt tokens of a request before the first one was sent. Value: a design choice, soon
/// replaced.
const INITIAL_TYPICAL_TOKENS: f64 = 1000.0;
/// The decode step taken at the start where no token interval objective is set, as a part of the
/// shortest objective. Value: a step has to be far within the objective.
const INITIAL_STEP_PART: f64 = 1.0 / 8.0;

/// The session's last turn that this router sent.
#[derive(Clone, Copy, Debug)]
pub(super) struct LastTurn {
    /// Where it was sent.
    pub(super) replica: ReplicaId,
    /// Tokens of its prompt.
    pub(super) prompt_tokens: u32,
}

/// The shared prefix of a prompt, at a replica that it was sent to.
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

    /// Replicas that anything is known of, listed or not. Inserted by `membership`.
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

    /// Requests that are not complete or have attempts in flight. Inserted by `arrival`, removed by
    /// `completion`.
    pub(super) requests: FxHashMap<RequestId, InFlightRequest>,
    /// Those of them that wait to be sent. Changed by `queue`.
    pub(super) queue: RequestQueue,
    /// Replicas that requests were sent to since `dispatch` last set their maturity.
    pub(super) dispatched_replicas: Vec<ReplicaIndex>,
    /// What is admitted. Changed by `arrival` and, with outcomes, by `measurements`.
    pub(super) admission: AdmissionControl,

    /// Replicas of sessions' last turns. Changed by `attempts`, read by `cache_affinity`.
    pub(super) last_turns: LruMap<u64, LastTurn>,
    /// Prefixes that were sent. Changed by `attempts`, read by `cache_affinity`.
    pub(super) sent_prefixes: LruMap<SentPrefix, ()>,
    /// How often prompts are found cached. Changed by `measurements`.
    pub(super) prefix_cache: PrefixCacheModel,
    /// First-token times of the fleet and its kinds. Changed by `measurements`.
    pub(super) throughput: FleetThroughput,
    /// The fleet's decode steps. Changed by `measurements`.
    pub(super) decode_steps: DecodeSteps,
    /// Means over load reports. Changed by `health_checks`.
    pub(super) fleet_load: FleetLoadMeans,
    /// Uncached prompt tokens of a usual request. Changed by `attempts`.
    pub(super) typical_tokens: f64,

    /// The shortest time between tokens that a class has as its objective, in seconds.
    pub(super) shortest_token_interval: f64,
    /// Seconds after which a measurement counts for a part of 1/e.
    pub(super) decay_seconds: f64,
    /// The timer that was asked for and has not fired. Changed by `timers`.
    pub(super) timer: Option<Timestamp>,
}

impl Balancer {
    /// A balancer that knows nothing yet.
    pub fn new(settings: Settings, seed: u64, now: Timestamp) -> Balancer {
        let mut rng = StdRng::seed_from_u64(seed);
        let shortest_token_interval = settings
            .classes
            .iter()
            .map(|class| class.token_interval_objective.as_secs_f64())
            .fold(f64::INFINITY, f64::min);
        let admission = AdmissionControl::new(&settings, now);
        let initial =
            initial_prefill_model(&settings, shortest_token_interval, admission.objective());
        let list_poll_timer = ListPollTimer::new(&settings, rng.random(), now);
        let decay_seconds = DECAY_OBJECTIVES * admission.objective();
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

    /// Replicas that any state is kept of, listed or not.
    pub fn tracked_replicas(&self) -> usize {
        self.replicas.len()
    }

    /// Listed replicas that get no requests now: those not in service, and those put off after
    /// faults.
    pub fn unavailable_replicas(&self) -> usize {
        let present = self.replicas.iter().filter(|replica| replica.is_present());
        present
            .filter(|replica| {
                let put_off = replica.consecutive_failures > 0 && replica.maturity > self.now;
                !replica.is_in_service() || put_off
            })
            .count()
    }

    /// Handles all events of a batch, then sends what can go.
    pub fn step(&mut self, now: Timestamp, events: &[Event], out: &mut Vec<Action>) {
        self.now = now;
        for event in events {
            self.handle_event(event, out);
        }
        if self.list_poll_timer.take_due(now) {
            out.push(Action::WatchEndpoints);
        }
        self.dispatch_queue(out);
        self.schedule_timer(out);
    }

    fn handle_event(&mut self, event: &Event, out: &mut Vec<Action>) {
        match *event {
            Event::EndpointsUpdated { kind, ref entries } => {
                self.on_endpoint_list(kind, entries, out);
            }
            Event::RequestReceived(arrival) => self.on_arrival(arrival, out),
            Event::FirstToken {
                request, attempt, ..
            } => {
                self.on_first_token(request, attempt as usize);
            }
            Event::ClientDisconnected { request } => self.on_client_disconnected(request),
            Event::AttemptEnded(end) => self.on_attempt_ended(end, out),
            Event::TimerFired { .. } => self.on_timer(),
            Event::HealthCheckEnded(end) => self.on_health_check(end),
            Event::PeerMessage { .. } => {}
        }
    }
}

/// The model of a first token before any has come. Latency objectives allow for prefill, so their
/// part per token is a first guess of its cost; the base is a decode step.
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
    let base_seconds = shortest_token_interval.min(objective * INITIAL_STEP_PART);
    LinearModel {
        seconds_per_token: objective_per_1000.max(base_seconds / 8.0) / 1000.0,
        base_seconds,
    }
}
