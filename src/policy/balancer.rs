//! The state of the decision module, and the order in which a batch of events is handled. The
//! sibling modules make the decisions.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rustc_hash::FxHashMap;

use super::admission::AdmissionControl;
use super::estimators::decode_steps::DecodeSteps;
use super::estimators::fleet_prefill_models::FleetPrefillModels;
use super::estimators::occupancy::Occupancy;
use super::estimators::prefill_model::LinearModel;
use super::estimators::prefix_cache::PrefixCacheModel;
use super::estimators::replica_load::FleetLoadMeans;
use super::hash_ring::HashRing;
use super::in_flight::InFlightRequest;
use super::list_poll_timer::ListPollTimer;
use super::maturity_index::MaturityIndex;
use super::replica::ReplicaState;
use super::replica_table::{ReplicaIndex, ReplicaTable};
use super::request_queue::RequestQueue;
use crate::interface::{
    Action, AdmissionStatus, Event, ExclusionCounts, MissCause, ReplicaId, RequestId, Settings,
    Span, Timestamp,
};
use crate::lru::LruMap;

/// The time in which the weight of a measurement decays to 1/e, as a multiple of the shortest
/// first-token objective. It is about the duration of a stream.
const DECAY_OBJECTIVES: f64 = 4.0;
/// Initial value of the running mean of a request's uncached prompt tokens. The first requests soon
/// replace it.
const INITIAL_TYPICAL_TOKENS: f64 = 1000.0;

/// The last turn of a session that this router sent to a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct LastTurn {
    /// The replica that the turn was sent to.
    pub(super) replica: ReplicaId,
    /// The number of tokens in the turn's prompt.
    pub(super) prompt_tokens: u32,
}

/// A shared prompt prefix, and a replica that a prompt with this prefix was sent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct SentPrefix {
    /// The number that identifies the prefix.
    pub(super) prefix: u64,
    /// The replica that the prompt was sent to.
    pub(super) replica: ReplicaId,
}

/// The balancer of one router.
pub struct Balancer {
    /// The settings that the router started with.
    pub(super) settings: Settings,
    /// The generator of all random draws.
    pub(super) rng: StdRng,
    /// The time of the batch being handled.
    pub(super) now: Timestamp,

    /// All replicas for which state is kept, listed or not. Inserted by `membership`.
    pub(super) replicas: ReplicaTable,
    /// The index of each replica. Changed by `membership`.
    pub(super) replica_index: FxHashMap<ReplicaId, ReplicaIndex>,
    /// The replicas in service by weight. Rebuilt by `membership`.
    pub(super) ring: HashRing,
    /// When the last replica in service has warmed up. Changed by `membership`, read by
    /// `slow_start`.
    pub(super) all_warm_at: Timestamp,
    /// When the endpoint list is polled. Changed by `membership` and by each step.
    pub(super) list_poll_timer: ListPollTimer,
    /// Which replicas take requests now, and when each other replica will. Changed by `maturity`
    /// and `dispatch`, rebuilt by `membership`.
    pub(super) maturity: MaturityIndex,

    /// Requests that are not complete, or have attempts in flight. Inserted by `arrival`, removed
    /// by `completion`.
    pub(super) requests: FxHashMap<RequestId, InFlightRequest>,
    /// The number of attempts in flight. Changed by `attempts`.
    pub(super) attempts_in_flight: u32,
    /// The requests that wait to be sent. Changed by `queue`.
    pub(super) queue: RequestQueue,
    /// Replicas that were sent requests since `dispatch` last set their maturity.
    pub(super) dispatched_replicas: Vec<ReplicaIndex>,
    /// Admission control. Changed by `arrival`, and by `measurements` when an outcome is recorded.
    pub(super) admission: AdmissionControl,
    /// The number of misses by cause. Changed by `measurements`.
    pub(super) misses: [u64; MissCause::LABELS.len()],

    /// The last turn of each session. Changed by `attempts`, read by `cache_affinity`.
    pub(super) last_turns: LruMap<u64, LastTurn>,
    /// The number of consecutive requests of each session that were not served. Changed by
    /// `session_fairness`.
    pub(super) session_rejections: LruMap<u64, u32>,
    /// Shared prefixes and the replicas that they were sent to. Changed by `attempts`, read by
    /// `cache_affinity`.
    pub(super) sent_prefixes: LruMap<SentPrefix, ()>,
    /// How often prompts are found cached. Changed by `measurements`.
    pub(super) prefix_cache: PrefixCacheModel,
    /// First-token times of the fleet and of each machine kind. Changed by `measurements`;
    /// `membership` sets the sizes of the replicas.
    pub(super) fleet_prefill_models: FleetPrefillModels,
    /// The fleet's decode steps. Changed by `measurements`.
    pub(super) decode_steps: DecodeSteps,
    /// Running means over all replicas' load reports. Changed by `health_checks`.
    pub(super) fleet_load: FleetLoadMeans,
    /// The running mean of a request's uncached prompt tokens. Changed by `attempts`.
    pub(super) typical_tokens: f64,

    /// How much of the replicas' time this router uses. Changed by `dispatch`.
    pub(super) occupancy: Occupancy,

    /// Why replicas were not chosen for the last unserved request. Changed by `completion`.
    pub(super) last_exclusions: ExclusionCounts,
    /// Since when requests have been queued while nothing is in flight. Changed by `exclusions`.
    pub(super) stalled_since: Option<Timestamp>,
    /// The longest such time. Changed by `exclusions`.
    pub(super) longest_stall: Span,

    /// The shortest token interval objective of any class, in seconds.
    pub(super) shortest_token_interval: f64,
    /// Seconds in which a measurement decays to 1/e.
    pub(super) decay_seconds: f64,
    /// When the pending timer fires; `None` if no timer is set. Changed by `timers`.
    pub(super) timer: Option<Timestamp>,
}

impl Balancer {
    /// Creates a balancer without an endpoint list, requests or measurements.
    pub fn new(settings: Settings, seed: u64, now: Timestamp) -> Balancer {
        let mut rng = StdRng::seed_from_u64(seed);
        let shortest_token_interval = settings
            .classes
            .iter()
            .map(|class| class.token_interval_objective.as_secs_f64())
            .fold(f64::INFINITY, f64::min);
        let admission = AdmissionControl::new(&settings, now);
        let initial = LinearModel::before_measurement(
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
            attempts_in_flight: 0,
            queue: RequestQueue::new(classes),
            dispatched_replicas: Vec::new(),
            admission,
            misses: Default::default(),
            last_turns: LruMap::default(),
            session_rejections: LruMap::default(),
            sent_prefixes: LruMap::default(),
            prefix_cache: PrefixCacheModel::default(),
            fleet_prefill_models: FleetPrefillModels::new(initial, decay_seconds, now),
            decode_steps: DecodeSteps::new(classes, shortest_token_interval / 2.0, decay_seconds),
            fleet_load: FleetLoadMeans::default(),
            typical_tokens: INITIAL_TYPICAL_TOKENS,
            occupancy: Occupancy::default(),
            last_exclusions: ExclusionCounts::default(),
            stalled_since: None,
            longest_stall: Span::ZERO,
            shortest_token_interval,
            decay_seconds,
            timer: None,
            settings,
        }
    }

    /// The number of replicas for which state is kept, listed or not.
    pub fn tracked_replicas(&self) -> usize {
        self.replicas.len()
    }

    /// The number of listed replicas that get no requests now, either because they are not in
    /// service or because they are in a backoff after faults.
    pub fn unavailable_replicas(&self) -> usize {
        let is_unavailable = |replica: &&ReplicaState| {
            let in_backoff = replica.consecutive_failures > 0 && replica.maturity > self.now;
            replica.is_present() && (!replica.is_in_service() || in_backoff)
        };
        self.replicas.iter().filter(is_unavailable).count()
    }

    /// The state of admission control.
    pub fn admission_status(&self) -> AdmissionStatus {
        let is_overdue = |replica: &&ReplicaState| replica.has_overdue_first_token(self.now);
        let fleet_model = self.fleet_prefill_models.fleet_model(self.now);
        AdmissionStatus {
            attempts_in_flight: self.attempts_in_flight,
            overdue_replicas: self.replicas.iter().filter(is_overdue).count(),
            predicted_first_token: Span::from_secs_f64(fleet_model.seconds(self.typical_tokens)),
            admitted_fraction: self.admission.lowest_admitted_fraction(),
            miss_rate: self.admission.highest_miss_rate(),
            mature_replicas: self.maturity.mature().len(),
            least_predicted_first_token: self.least_predicted_first_token(),
            exclusions: self.last_exclusions,
            stalled_for: self
                .stalled_since
                .map_or(Span::ZERO, |since| self.now - since),
            longest_stall: self.longest_stall,
            misses: self.misses,
        }
    }

    /// Handles a batch of events, then dispatches queued requests. Appends the actions that the
    /// caller must carry out, in this order, to `actions`.
    pub fn step(&mut self, now: Timestamp, events: &[Event], actions: &mut Vec<Action>) {
        self.now = now;
        for event in events {
            self.handle_event(event, actions);
        }
        if self.list_poll_timer.take_due(now) {
            actions.push(Action::WatchEndpoints);
        }
        self.dispatch_queue(actions);
        self.update_stall();
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
