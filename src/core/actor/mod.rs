//! The core's actor: it turns messages into events for the [`Balancer`] and carries out its
//! actions. It owns the requests in flight, their attempts and all their timers; decisions are the
//! balancer's.

mod actions;
mod attempts;
mod endpoints;
mod maintenance;
mod options;
mod requests;
mod run;
mod timers;

use std::sync::Arc;
use std::time::{Duration, Instant};

use rustc_hash::FxHashMap;
use tokio::sync::mpsc;

use super::in_flight_request::InFlightRequest;
use super::stall_detector::StallDetector;
use super::start_times::StartTimes;
use super::{
    Clock, Connector, CoreHandle, CoreLoad, CoreMessage, DiscoveryCommand, MAILBOX_CAPACITY,
    MaintenanceCommand,
};
use crate::Balancer;
use crate::interface::{Action, Class, Event, Idempotency, ReplicaId, RequestId, Span};
use crate::ops::exclusions::Exclusions;
use crate::ops::metrics::Metrics;
use endpoints::UpstreamHandle;
use maintenance::MaintenanceReply;
use timers::TimerQueue;

pub use options::CoreOptions;

/// How long before the client stops waiting the decision module has to answer (10 ms): the answer
/// still has to be written and to reach the client.
const CLIENT_ANSWER_MARGIN: Span = Span::from_millis(10);
/// How long before the client stops waiting the core itself answers a request for which the
/// decision module has given no answer (3 ms).
const LAST_ANSWER_MARGIN: Span = Span::from_millis(3);
/// The most operators' commands that wait for the core.
const MAINTENANCE_MAILBOX_CAPACITY: usize = 16;

/// How long retries of a class's requests are allowed; `None`: without limit.
fn retry_window(class: &Class) -> Option<Duration> {
    (class.idempotency == Idempotency::Keyed).then(|| Duration::from(class.deduplication_window))
}

/// The core's actor.
pub struct Core {
    balancer: Balancer,
    clock: Clock,
    /// The least time between two steps.
    step_interval: Duration,
    max_attempts: u32,
    max_requests_in_flight: usize,
    attempt_start_timeout: Duration,
    /// How long retries of each class's requests are allowed; `None`: without limit.
    retry_windows: Vec<Option<Duration>>,
    connector: Box<dyn Connector>,
    discovery: mpsc::Sender<DiscoveryCommand>,
    messages: mpsc::Receiver<CoreMessage>,
    maintenance: mpsc::Receiver<MaintenanceCommand>,
    maintenance_replies: Vec<MaintenanceReply>,
    start_times: StartTimes,
    exclusions: Exclusions,
    metrics: Arc<Metrics>,
    /// When the metrics of the fleet were last published; `None`: they are due with the next step.
    fleet_published_at: Option<Instant>,
    stalls: StallDetector,
    upstreams: FxHashMap<ReplicaId, UpstreamHandle>,
    requests: FxHashMap<RequestId, InFlightRequest>,
    load: Arc<CoreLoad>,
    last_id: u32,
    timers: TimerQueue,
    events: Vec<Event>,
    actions: Vec<Action>,
}

impl Core {
    /// Starts the actor, which has no endpoints yet, on this thread's runtime. Returns a handle to
    /// it and its mailbox.
    pub fn start(options: CoreOptions) -> (CoreHandle, mpsc::Sender<CoreMessage>) {
        let clock = Clock::start();
        let (message_sender, messages) = mpsc::channel(MAILBOX_CAPACITY);
        let (maintenance_sender, maintenance) = mpsc::channel(MAINTENANCE_MAILBOX_CAPACITY);
        let settings = options.settings;
        let core = Core {
            step_interval: Duration::from(settings.step_interval),
            max_attempts: settings.max_attempts,
            max_requests_in_flight: options.max_requests_in_flight,
            attempt_start_timeout: options.attempt_start_timeout,
            retry_windows: settings.classes.iter().map(retry_window).collect(),
            balancer: Balancer::new(settings, options.seed, clock.time_at(Instant::now())),
            clock,
            connector: options.connector,
            discovery: options.discovery,
            messages,
            maintenance,
            maintenance_replies: Vec::new(),
            start_times: StartTimes::default(),
            exclusions: Exclusions::new(options.exclusions),
            metrics: options.metrics,
            fleet_published_at: None,
            stalls: StallDetector::new(Instant::now()),
            upstreams: FxHashMap::default(),
            requests: FxHashMap::default(),
            load: Arc::default(),
            last_id: 0,
            timers: TimerQueue::default(),
            events: Vec::new(),
            actions: Vec::new(),
        };
        let handle = CoreHandle::new(
            message_sender.clone(),
            maintenance_sender,
            core.load.clone(),
            core.metrics.clone(),
        );
        tokio::spawn(core.run());
        (handle, message_sender)
    }
}
